#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Http/HttpMessage.h"

namespace turmericdyke {

/// Receives the parts of the messages on a connection, in order.
class HttpReaderEvents {
public:
  virtual ~HttpReaderEvents() = default;
  /// Returns whether a body follows; false for a response to HEAD.
  virtual bool onHead() = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onMessageEnd() = 0;
};

enum class HttpReadStatus {
  /// All bytes were consumed.
  NeedsMore,
  /// A message ended; the remaining bytes belong to the next one.
  MessageEnded,
  /// The bytes are not a message.
  Malformed,
  /// The header is longer than the limit.
  HeadTooLarge
};

/// Reads the messages of one direction of an HTTP/1.1 connection. It uses
/// http_parser, which rejects ambiguous framing (a length together with chunks,
/// two lengths).
class HttpReader {
public:
  enum class Side { Requests, Responses };

  HttpReader(Side Kind, HttpReaderEvents &Events);
  ~HttpReader();
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  void setMaxHeadBytes(std::size_t Bytes) { m_maxHeadBytes = Bytes; }

  /// Consumes bytes up to the end of a message; `Consumed` returns how many.
  HttpReadStatus feed(std::string_view Bytes, std::size_t &Consumed);
  /// Called when the connection was closed in order; false if that truncates a
  /// message.
  bool endOfInput();
  /// Whether a message was read in part.
  bool insideMessage() const;
  bool insideBody() const;
  /// Length of the body that the head announces; nothing if it is chunked or
  /// ends with the connection. Set from `onHead` on.
  std::optional<std::uint64_t> announcedBytes() const;
  /// Memory that the parts of the message take, without its body.
  std::size_t heldBytes() const;

  /// The parts of the message that is being read, set from `onHead` on.
  HttpRequest &request() { return m_request; }
  HttpResponseHead &response() { return m_response; }
  const HttpResponseHead &response() const { return m_response; }

private:
  struct Parser;
  friend struct Parser;

  void reset();
  bool isFramingTooLarge() const;
  /// Whether `Bytes`, which continue the head of a response, hold the begin of
  /// a line that begins with a blank.
  bool findFoldedLine(std::string_view Bytes);
  void flushField();
  int headComplete();

  Side m_side;
  HttpReaderEvents &m_events;
  std::unique_ptr<Parser> m_parser;
  std::size_t m_maxHeadBytes = 64 << 10;
  std::size_t m_headBytes = 0;
  std::size_t m_bodyBytes = 0;
  /// Bytes after the head that are no body: sizes and extensions of chunks, and
  /// trailers.
  std::size_t m_framingBytes = 0;
  bool m_started = false;
  bool m_headDone = false;
  bool m_ended = false;
  bool m_valueSeen = false;
  /// Of the head of a response: whether its first line has ended, and the bytes
  /// of the current line.
  bool m_statusLineRead = false;
  std::size_t m_lineBytes = 0;
  std::string m_name;
  std::string m_value;
  HttpRequest m_request;
  HttpResponseHead m_response;
};

} // namespace turmericdyke
