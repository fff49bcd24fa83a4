#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "turmericdyke/src/Http/HttpMessage.h"

namespace turmericdyke {

/// What a reader finds in the bytes of a connection, in order.
class HttpReaderEvents {
public:
  virtual ~HttpReaderEvents() = default;
  /// Whether the body will follow; false for a response to HEAD.
  virtual bool onHead() = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onMessageEnd() = 0;
};

enum class HttpReadStatus {
  /// All bytes were taken.
  NeedsMore,
  /// A message ended; the rest of the bytes belongs to what follows.
  MessageEnded,
  /// The bytes are not a message.
  Malformed,
  /// The header is longer than the bound.
  HeadTooLarge
};

/// Reads the messages of one direction of an HTTP/1.1 connection. The parsing
/// is http_parser's, which refuses ambiguous framing (a length beside chunks,
/// two lengths).
class HttpReader {
public:
  enum class Side { Requests, Responses };

  HttpReader(Side Kind, HttpReaderEvents &Events);
  ~HttpReader();
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  void setMaxHeadBytes(std::size_t Bytes) { m_maxHeadBytes = Bytes; }

  /// Takes bytes up to the end of a message; `Taken` says how many.
  HttpReadStatus feed(std::string_view Bytes, std::size_t &Taken);
  /// The connection ended in order; false if that cuts a message off.
  bool endOfInput();
  /// Whether some bytes of a message were read but not all.
  bool insideMessage() const;
  bool insideBody() const;

  /// The parts of the message that is being read, set from `onHead` on.
  HttpRequest &request() { return m_request; }
  HttpResponseHead &response() { return m_response; }
  const HttpResponseHead &response() const { return m_response; }

private:
  struct Parser;
  friend struct Parser;

  void reset();
  void flushField();
  int headComplete();

  Side m_side;
  HttpReaderEvents &m_events;
  std::unique_ptr<Parser> m_parser;
  std::size_t m_maxHeadBytes = 64 << 10;
  std::size_t m_headBytes = 0;
  bool m_started = false;
  bool m_headDone = false;
  bool m_ended = false;
  bool m_valueSeen = false;
  bool m_wrongName = false;
  std::string m_name;
  std::string m_value;
  HttpRequest m_request;
  HttpResponseHead m_response;
};

} // namespace turmericdyke
