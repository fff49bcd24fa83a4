#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace turmericdyke {

/// Exit status of turmericctl; `--help` and docs/operators.md list the values.
enum class ExitCode {
  Ok = 0,
  UsageError = 1,
  DeclarationInvalid = 2,
  Refused = 3,
  Unreachable = 4,
  AnswerLost = 5,
  WaitTimedOut = 6
};

/// Settings of turmericctl, one for each flag.
struct CtlOptions {
  /// Operator ports as `ip:port`, in the order in which they are tried.
  std::vector<std::string> m_nodes;
  std::string m_operatorKey;
  bool m_json = false;
  /// If empty, a random one is generated.
  std::string m_changeId;
  std::string m_author;
  /// If negative, the current revision is used.
  std::int64_t m_baseRevision = -1;
  /// Revision for `get`, `diff` and `wait`; negative if not given.
  std::int64_t m_revision = -1;
  /// Maximum number of times that a change is sent again after a lost answer.
  int m_retries = 5;
  /// Delay before a change is sent again the first time. It doubles each time,
  /// up to 2 s.
  absl::Duration m_retryDelay = absl::Milliseconds(200);
  /// Timeout for one answer.
  absl::Duration m_timeout = absl::Seconds(10);
  bool m_wait = false;
  absl::Duration m_waitTimeout = absl::Seconds(30);
  absl::Duration m_waitInterval = absl::Milliseconds(250);
  /// What the name given to `drain` and `undrain` refers to: `target` or
  /// `host`. If empty, it is looked up.
  std::string m_kind;
};

/// Streams of the process, replaced in tests.
struct CtlStreams {
  std::istream &m_in;
  std::ostream &m_out;
  std::ostream &m_err;
};

} // namespace turmericdyke
