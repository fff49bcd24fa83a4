#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace turmericdyke {

/// Writes log lines to a file descriptor without ever blocking on its reader.
/// The rate of lines and the size of the pending output are limited; dropped
/// lines are counted, and the count is logged in a separate line.
class LogSink {
public:
  /// Sustained rate and burst of the rate limit. At 100 requests per second a
  /// node writes about 300 lines per second.
  static constexpr double LinesPerSecond = 400;
  static constexpr double BurstLines = 1200;
  static constexpr std::size_t MaxPendingBytes = 256 << 10;

  explicit LogSink(int File) : m_file(File) {}

  /// Appends a line, including its line end. `Important` lines (errors and
  /// warnings) are exempt from the rate limit.
  void append(std::string_view Line, bool Important);
  /// While on, lines are buffered and written by `flush` only.
  void setBuffering(bool On);
  /// Writes as much pending output as is possible without blocking.
  void flush();
  std::uint64_t dropped() const;

  /// The sink of this process, on standard output.
  static LogSink &standard();

private:
  bool admit(bool Important) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void reportDropped() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void write() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

  int m_file;
  mutable absl::Mutex m_lock;
  std::string m_pending ABSL_GUARDED_BY(m_lock);
  bool m_buffering ABSL_GUARDED_BY(m_lock) = false;
  double m_tokens ABSL_GUARDED_BY(m_lock) = BurstLines;
  absl::Time m_refilled ABSL_GUARDED_BY(m_lock) = absl::InfinitePast();
  std::uint64_t m_dropped ABSL_GUARDED_BY(m_lock) = 0;
  std::uint64_t m_reportedDropped ABSL_GUARDED_BY(m_lock) = 0;
};

} // namespace turmericdyke
