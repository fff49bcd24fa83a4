#include "turmericdyke/src/Requests/EventStreamParser.h"

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::string_view DataPrefix = "data:";

/// Returns the end of the first event in `Bytes`, past its blank line, or npos.
/// Lines end in LF or CRLF.
std::size_t eventEnd(std::string_view Bytes) {
  std::size_t Lf = Bytes.find("\n\n");
  std::size_t CrLf = Bytes.find("\r\n\r\n");
  if (Lf == std::string_view::npos && CrLf == std::string_view::npos)
    return std::string_view::npos;
  return Lf < CrLf ? Lf + 2 : CrLf + 4;
}

const Json *choicesOf(const Json &Body) {
  if (!Body.is_object())
    return nullptr;
  auto Choices = Body.find("choices");
  return Choices != Body.end() && Choices->is_array() ? &*Choices : nullptr;
}

bool hasFinishReason(const Json &Choice) {
  if (!Choice.is_object())
    return false;
  auto Reason = Choice.find("finish_reason");
  return Reason != Choice.end() && Reason->is_string();
}

bool hasContent(const Json &Choice) {
  if (!Choice.is_object())
    return false;
  if (Choice.contains("text"))
    return true;
  auto Delta = Choice.find("delta");
  return Delta != Choice.end() && Delta->is_object() &&
         Delta->contains("content");
}

} // namespace
} // namespace internal

EventStreamParser::EventStreamParser(std::size_t MaxEventBytes)
    : m_maxEventBytes(MaxEventBytes) {}

std::string EventStreamParser::feed(std::string_view Bytes) {
  m_pending.append(Bytes);
  std::string CompleteEvents;
  std::size_t End;
  while (!m_malformed &&
         (End = internal::eventEnd(m_pending)) != std::string_view::npos) {
    std::string_view Event = std::string_view(m_pending).substr(0, End);
    if (m_done)
      m_malformed = true;
    else
      readEvent(Event);
    if (!m_malformed)
      CompleteEvents.append(Event);
    m_pending.erase(0, End);
  }
  if (m_pending.size() > m_maxEventBytes)
    m_malformed = true;
  return CompleteEvents;
}

void EventStreamParser::readEvent(std::string_view Event) {
  std::size_t Begin = 0;
  while (Begin < Event.size() && !m_malformed) {
    std::size_t End = Event.find('\n', Begin);
    std::string_view Line = Event.substr(Begin, End - Begin);
    Begin = End == std::string_view::npos ? Event.size() : End + 1;
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.substr(0, internal::DataPrefix.size()) == internal::DataPrefix)
      readData(Line.substr(internal::DataPrefix.size()));
  }
}

void EventStreamParser::readData(std::string_view Data) {
  if (!Data.empty() && Data.front() == ' ')
    Data.remove_prefix(1);
  if (Data == "[DONE]") {
    m_done = true;
    return;
  }
  internal::Json Chunk =
      internal::Json::parse(Data.begin(), Data.end(), nullptr, false);
  const internal::Json *Choices = internal::choicesOf(Chunk);
  if (Choices == nullptr) {
    m_malformed = true;
    return;
  }
  for (const internal::Json &Choice : *Choices) {
    m_hasFinishReason = m_hasFinishReason || internal::hasFinishReason(Choice);
    m_tokens += internal::hasContent(Choice) ? 1 : 0;
  }
}

bool isCompleteCompletion(std::string_view Body) {
  internal::Json Answer =
      internal::Json::parse(Body.begin(), Body.end(), nullptr, false);
  const internal::Json *Choices = internal::choicesOf(Answer);
  if (Choices == nullptr || Choices->empty())
    return false;
  for (const internal::Json &Choice : *Choices)
    if (!internal::hasFinishReason(Choice))
      return false;
  return true;
}

} // namespace turmericdyke
