#include "turmericdyke/src/Serving/EventRelay.h"

#include "turmericdyke/src/Base/Text.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EventEndCrLf = "\r\n\r\n";

/// Offset of the end of the last complete event in `Text`; 0 if there is none.
std::size_t endOfLastEvent(std::string_view Text) {
  std::size_t Lf = Text.rfind(EventEnd);
  std::size_t CrLf = Text.rfind(EventEndCrLf);
  std::size_t End = 0;
  if (Lf != std::string_view::npos)
    End = Lf + EventEnd.size();
  if (CrLf != std::string_view::npos)
    End = std::max(End, CrLf + EventEndCrLf.size());
  return End;
}

} // namespace
} // namespace internal

std::string EventRelay::feed(std::string_view Bytes) {
  m_partial.append(Bytes);
  std::size_t End = internal::endOfLastEvent(m_partial);
  if (End == 0)
    return {};
  std::string Complete = m_partial.substr(0, End);
  m_partial.erase(0, End);
  recordEvents(Complete);
  return Complete;
}

void EventRelay::recordEvents(std::string_view Events) {
  constexpr std::string_view Name = "id:";
  bool InEvent = false;
  while (!Events.empty()) {
    std::size_t End = Events.find('\n');
    std::string_view Line = trimmed(Events.substr(0, End));
    Events.remove_prefix(End + 1);
    if (Line.empty() && InEvent)
      ++m_events;
    InEvent = !Line.empty();
    if (Line.substr(0, Name.size()) == Name)
      m_lastId = std::string(trimmed(Line.substr(Name.size())));
  }
}

} // namespace turmericdyke
