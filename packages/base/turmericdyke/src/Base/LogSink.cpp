#include "turmericdyke/src/Base/LogSink.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A pipe that is ready for writing accepts this many bytes without blocking
/// (POSIX).
constexpr std::size_t MaxWriteBytes = PIPE_BUF;

bool isWritable(int File) {
  pollfd Ready{File, POLLOUT, 0};
  return poll(&Ready, 1, 0) == 1 && (Ready.revents & POLLOUT) != 0;
}

} // namespace
} // namespace internal

LogSink &LogSink::standard() {
  static LogSink Sink(STDOUT_FILENO);
  return Sink;
}

bool LogSink::admit(bool Important) {
  Instant Now = monotonicNow();
  if (Now > m_refilled && m_refilled != absl::InfinitePast())
    m_tokens = std::min(BurstLines,
                        m_tokens + absl::ToDoubleSeconds(Now - m_refilled) *
                                       LinesPerSecond);
  m_refilled = Now;
  if (Important)
    return true;
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

void LogSink::append(std::string_view Line, bool Important) {
  absl::MutexLock Lock(&m_lock);
  if (m_pending.size() + Line.size() > MaxPendingBytes || !admit(Important)) {
    ++m_dropped;
    return;
  }
  reportDropped();
  m_pending.append(Line);
  if (!m_buffering)
    write();
}

void LogSink::reportDropped() {
  if (m_dropped == m_reportedDropped)
    return;
  m_pending += fmt::format("event=log_lines_dropped count={}\n",
                           m_dropped - m_reportedDropped);
  m_reportedDropped = m_dropped;
}

void LogSink::write() {
  std::size_t Written = 0;
  while (Written < m_pending.size() && internal::isWritable(m_file)) {
    std::size_t Count =
        std::min(internal::MaxWriteBytes, m_pending.size() - Written);
    ssize_t Done = ::write(m_file, m_pending.data() + Written, Count);
    if (Done <= 0) {
      // The log has no reader any more; discard the pending output.
      if (errno == EPIPE || errno == EBADF)
        Written = m_pending.size();
      break;
    }
    Written += static_cast<std::size_t>(Done);
  }
  m_pending.erase(0, Written);
}

void LogSink::setBuffering(bool On) {
  absl::MutexLock Lock(&m_lock);
  m_buffering = On;
  if (!On)
    write();
}

void LogSink::flush() {
  absl::MutexLock Lock(&m_lock);
  if (!m_pending.empty())
    write();
}

std::uint64_t LogSink::dropped() const {
  absl::MutexLock Lock(&m_lock);
  return m_dropped;
}

} // namespace turmericdyke
