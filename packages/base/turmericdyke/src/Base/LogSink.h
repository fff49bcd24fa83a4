#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace turmericdyke {

/// Where log lines go: standard output, without ever waiting for its reader.
/// Lines are bounded in number per second and in the bytes that wait to be
/// written; what is left out is counted and said in a line of its own.
class LogSink {
public:
  /// Lines per second in the long run, and at once. At 100 requests a second a
  /// node writes about 300 lines.
  static constexpr double LinesPerSecond = 400;
  static constexpr double BurstLines = 1200;
  static constexpr std::size_t MaxWaitingBytes = 256 << 10;

  explicit LogSink(int File) : m_file(File) {}

  /// Takes a line with its line end. Errors and warnings go before the bound on
  /// the rate.
  void take(std::string_view Line, bool Important);
  /// Collect lines and write them in `flush` only.
  void setCollecting(bool On);
  /// Writes what the reader takes without waiting.
  void flush();
  std::uint64_t dropped() const;

  /// The sink of this process.
  static LogSink &standard();

private:
  bool admit(bool Important) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void sayDropped() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void write() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

  int m_file;
  mutable absl::Mutex m_lock;
  std::string m_waiting ABSL_GUARDED_BY(m_lock);
  bool m_collecting ABSL_GUARDED_BY(m_lock) = false;
  double m_tokens ABSL_GUARDED_BY(m_lock) = BurstLines;
  absl::Time m_refilled ABSL_GUARDED_BY(m_lock) = absl::InfinitePast();
  std::uint64_t m_dropped ABSL_GUARDED_BY(m_lock) = 0;
  std::uint64_t m_saidDropped ABSL_GUARDED_BY(m_lock) = 0;
};

} // namespace turmericdyke
