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

/// A pipe that is ready for writing takes this many bytes at once (POSIX).
constexpr std::size_t AtOnce = PIPE_BUF;

bool takesBytes(int File) {
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

void LogSink::take(std::string_view Line, bool Important) {
  absl::MutexLock Lock(&m_lock);
  if (m_waiting.size() + Line.size() > MaxWaitingBytes || !admit(Important)) {
    ++m_dropped;
    return;
  }
  sayDropped();
  m_waiting.append(Line);
  if (!m_collecting)
    write();
}

void LogSink::sayDropped() {
  if (m_dropped == m_saidDropped)
    return;
  m_waiting += fmt::format("event=log_lines_dropped count={}\n",
                           m_dropped - m_saidDropped);
  m_saidDropped = m_dropped;
}

void LogSink::write() {
  std::size_t Written = 0;
  while (Written < m_waiting.size() && internal::takesBytes(m_file)) {
    std::size_t Count = std::min(internal::AtOnce, m_waiting.size() - Written);
    ssize_t Done = ::write(m_file, m_waiting.data() + Written, Count);
    if (Done <= 0) {
      // Nobody will read the log any more.
      if (errno == EPIPE || errno == EBADF)
        Written = m_waiting.size();
      break;
    }
    Written += static_cast<std::size_t>(Done);
  }
  m_waiting.erase(0, Written);
}

void LogSink::setCollecting(bool On) {
  absl::MutexLock Lock(&m_lock);
  m_collecting = On;
  if (!On)
    write();
}

void LogSink::flush() {
  absl::MutexLock Lock(&m_lock);
  if (!m_waiting.empty())
    write();
}

std::uint64_t LogSink::dropped() const {
  absl::MutexLock Lock(&m_lock);
  return m_dropped;
}

} // namespace turmericdyke
