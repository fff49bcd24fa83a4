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
  /// Empty to draw one.
  std::string m_changeId;
  std::string m_author;
  /// Negative to use the current revision.
  std::int64_t m_baseRevision = -1;
  /// Revision of `get` and `wait`; negative when it was not given.
  std::int64_t m_revision = -1;
  /// How often a change is sent again after a lost answer.
  int m_retries = 5;
  /// First pause before a change is sent again; doubles up to 2 s.
  absl::Duration m_retryDelay = absl::Milliseconds(200);
  /// Bound on the wait for one answer.
  absl::Duration m_timeout = absl::Seconds(10);
  bool m_wait = false;
  absl::Duration m_waitTimeout = absl::Seconds(30);
  absl::Duration m_waitInterval = absl::Milliseconds(250);
  /// What `drain` and `undrain` name: `target`, `host`, or empty to look it up.
  std::string m_kind;
};

/// Streams of the process, replaced in tests.
struct CtlStreams {
  std::istream &m_in;
  std::ostream &m_out;
  std::ostream &m_err;
};

} // namespace turmericdyke
