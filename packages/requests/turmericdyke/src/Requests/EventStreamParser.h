#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Incremental parser for a server-sent event stream of completion chunks. The
/// answer is complete once a finish reason and then `[DONE]` were received.
class EventStreamParser {
public:
  /// `MaxEventBytes` limits the buffered bytes of one event.
  explicit EventStreamParser(std::size_t MaxEventBytes);

  /// Consumes bytes and returns the events that are now complete, unchanged,
  /// for forwarding.
  std::string feed(std::string_view Bytes);

  /// Whether an event was malformed, too large or followed `[DONE]`.
  bool malformed() const { return m_malformed; }
  /// Whether a finish reason and `[DONE]` were received.
  bool complete() const { return m_done && m_hasFinishReason; }
  /// Whether `[DONE]` was received.
  bool done() const { return m_done; }
  /// Number of chunks with content so far; engines send one token per chunk.
  std::int64_t tokens() const { return m_tokens; }

private:
  void readEvent(std::string_view Event);
  void readData(std::string_view Data);

  std::size_t m_maxEventBytes;
  std::string m_pending;
  bool m_malformed = false;
  bool m_done = false;
  bool m_hasFinishReason = false;
  std::int64_t m_tokens = 0;
};

/// Whether `Body` is a complete chat or text completion: a JSON object with at
/// least one choice, where each choice has a finish reason.
bool isCompleteCompletion(std::string_view Body);

} // namespace turmericdyke
