#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Reads a server-sent event stream of completion chunks as bytes arrive, and
/// tells when the answer is complete: a finish reason was seen, then `[DONE]`.
class EventStreamParser {
public:
  /// `MaxEventBytes` bounds the bytes held for one event.
  explicit EventStreamParser(std::size_t MaxEventBytes);

  /// Takes bytes and returns the whole events among what was received, to be
  /// handed on as they are.
  std::string feed(std::string_view Bytes);

  /// An event was malformed, too large, or followed `[DONE]`.
  bool malformed() const { return m_malformed; }
  /// `[DONE]` was read after a finish reason.
  bool complete() const { return m_done && m_finished; }
  /// `[DONE]` was read.
  bool done() const { return m_done; }
  /// Chunks with content so far; an engine sends one token a chunk.
  std::int64_t tokens() const { return m_tokens; }

private:
  void readEvent(std::string_view Event);
  void readData(std::string_view Data);

  std::size_t m_maxEventBytes;
  std::string m_pending;
  bool m_malformed = false;
  bool m_done = false;
  bool m_finished = false;
  std::int64_t m_tokens = 0;
};

/// Whether `Body` is one complete chat or text completion: a JSON object whose
/// choices each have a finish reason.
bool isCompleteCompletion(std::string_view Body);

} // namespace turmericdyke
