#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "absl/time/time.h"

/// A loopback port that stays bound without listening, so that the system
/// assigns it to no other socket while a node that uses it is restarted.
class ReservedPort {
public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort &) = delete;
  ReservedPort &operator=(const ReservedPort &) = delete;

  int port() const { return m_port; }
  std::string address() const;

private:
  int m_socket = -1;
  int m_port = 0;
};

/// Runs `turmericdyked` as a child process. Must be started and stopped on the
/// main thread, as the child is killed when the thread that started it ends.
class NodeProcess {
public:
  /// The standard error of each start is appended to the file `Log`.
  NodeProcess(std::vector<std::string> Arguments, std::string Log);
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  void start();
  void signal(int Number) const;
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// Returns the exit code, or 128 + the signal that ended the process; empty
  /// if it still runs after `Limit`.
  std::optional<int> waitForExit(absl::Duration Limit);
  bool runs() const { return m_pid > 0; }
  const std::string &log() const { return m_log; }

private:
  std::vector<std::string> m_arguments;
  std::string m_log;
  pid_t m_pid = -1;
};
