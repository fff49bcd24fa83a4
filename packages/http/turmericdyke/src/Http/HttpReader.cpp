#include "turmericdyke/src/Http/HttpReader.h"

#include <http_parser.h>

#include "turmericdyke/src/Base/HttpSyntax.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A chunk of one byte takes five bytes of framing without an extension.
constexpr std::size_t MaxFramingPerBodyByte = 16;

} // namespace
} // namespace internal

/// The callbacks of http_parser. Each returns 0 to continue, another number if
/// the bytes are not a message.
struct HttpReader::Parser {
  http_parser m_state{};
  http_parser_settings m_callbacks{};

  static HttpReader &self(http_parser *State) {
    return *static_cast<HttpReader *>(State->data);
  }

  static int onBegin(http_parser *State) {
    self(State).m_started = true;
    return 0;
  }
  static int onUrl(http_parser *State, const char *At, std::size_t Size) {
    self(State).m_request.m_target.append(At, Size);
    return 0;
  }
  static int onStatus(http_parser *State, const char *, std::size_t) {
    // No request of this system asks for another protocol.
    constexpr int SwitchingProtocols = 101;
    int Status = static_cast<int>(State->status_code);
    return isStatusCode(Status) && Status != SwitchingProtocols ? 0 : 1;
  }
  static int onName(http_parser *State, const char *At, std::size_t Size) {
    HttpReader &Reader = self(State);
    Reader.flushField();
    Reader.m_name.append(At, Size);
    // http_parser accepts a space in a name; another parser could interpret
    // "Content-Length :" as a length. The last part of a name may be empty.
    return Size == 0 || isFieldName({At, Size}) ? 0 : 1;
  }
  static int onValue(http_parser *State, const char *At, std::size_t Size) {
    HttpReader &Reader = self(State);
    Reader.m_valueSeen = true;
    Reader.m_value.append(At, Size);
    return 0;
  }
  static int onHeadComplete(http_parser *State) {
    return self(State).headComplete();
  }
  static int onBody(http_parser *State, const char *At, std::size_t Size) {
    self(State).m_bodyBytes += Size;
    self(State).m_events.onBody({At, Size});
    return 0;
  }
  static int onEnd(http_parser *State) {
    HttpReader &Reader = self(State);
    Reader.m_ended = true;
    // Stops before the first byte of the next message.
    http_parser_pause(State, 1);
    return 0;
  }
};

HttpReader::HttpReader(Side Kind, HttpReaderEvents &Events)
    : m_side(Kind), m_events(Events), m_parser(std::make_unique<Parser>()) {
  m_parser->m_callbacks.on_message_begin = &Parser::onBegin;
  m_parser->m_callbacks.on_url = &Parser::onUrl;
  m_parser->m_callbacks.on_status = &Parser::onStatus;
  m_parser->m_callbacks.on_header_field = &Parser::onName;
  m_parser->m_callbacks.on_header_value = &Parser::onValue;
  m_parser->m_callbacks.on_headers_complete = &Parser::onHeadComplete;
  m_parser->m_callbacks.on_body = &Parser::onBody;
  m_parser->m_callbacks.on_message_complete = &Parser::onEnd;
  reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::reset() {
  http_parser_init(&m_parser->m_state,
                   m_side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser->m_state.data = this;
  m_headBytes = 0;
  m_bodyBytes = 0;
  m_framingBytes = 0;
  m_started = false;
  m_headDone = false;
  m_ended = false;
  m_valueSeen = false;
  m_statusLineRead = false;
  m_lineBytes = 0;
  m_name.clear();
  m_value.clear();
  m_request = HttpRequest();
  m_response = HttpResponseHead();
}

void HttpReader::flushField() {
  if (!m_valueSeen)
    return;
  HttpFields &Fields =
      m_side == Side::Requests ? m_request.m_fields : m_response.m_fields;
  // A line after the body of a chunked message is a trailer, which is ignored.
  if (!m_headDone)
    Fields.add(m_name, m_value);
  m_name.clear();
  m_value.clear();
  m_valueSeen = false;
}

int HttpReader::headComplete() {
  flushField();
  m_headDone = true;
  http_parser &State = m_parser->m_state;
  bool KeepAlive = http_should_keep_alive(&State) != 0;
  if (m_side == Side::Requests) {
    m_request.m_method =
        http_method_str(static_cast<http_method>(State.method));
    m_request.m_keepAlive = KeepAlive;
    m_request.m_acceptsChunked =
        State.http_major > 1 || (State.http_major == 1 && State.http_minor > 0);
  } else {
    m_response.m_status = static_cast<int>(State.status_code);
    m_response.m_keepAlive = KeepAlive;
    m_response.m_contentLength = announcedBytes();
    m_response.m_endsWithConnection =
        (State.flags & F_CHUNKED) == 0 && !m_response.m_contentLength &&
        m_response.m_status != 204 && m_response.m_status != 304;
  }
  constexpr int SkipBody = 1;
  return m_events.onHead() ? 0 : SkipBody;
}

bool HttpReader::isFramingTooLarge() const {
  return m_framingBytes >
         m_maxHeadBytes + internal::MaxFramingPerBodyByte * m_bodyBytes;
}

bool HttpReader::findFoldedLine(std::string_view Bytes) {
  for (char C : Bytes) {
    if (C == '\n') {
      bool HeadEnds = m_lineBytes == 0 && m_statusLineRead;
      if (HeadEnds)
        return false;
      m_statusLineRead = m_statusLineRead || m_lineBytes > 0;
      m_lineBytes = 0;
    } else if (C != '\r') {
      if (m_lineBytes == 0 && m_statusLineRead && (C == ' ' || C == '\t'))
        return true;
      ++m_lineBytes;
    }
  }
  return false;
}

HttpReadStatus HttpReader::feed(std::string_view Bytes, std::size_t &Consumed) {
  Consumed = 0;
  // http_parser joins such a line to the value before it. A gateway may reject
  // the response (RFC 9112, section 5.2).
  if (m_side == Side::Responses && !m_headDone && findFoldedLine(Bytes))
    return HttpReadStatus::Malformed;
  bool HeadWasDone = m_headDone;
  std::size_t BodyBefore = m_bodyBytes;
  Consumed = http_parser_execute(&m_parser->m_state, &m_parser->m_callbacks,
                                 Bytes.data(), Bytes.size());
  if (!HeadWasDone)
    m_headBytes += Consumed - (m_bodyBytes - BodyBefore);
  if (!m_headDone && m_headBytes > m_maxHeadBytes)
    return HttpReadStatus::HeadTooLarge;
  if (HeadWasDone)
    m_framingBytes += Consumed - (m_bodyBytes - BodyBefore);
  if (isFramingTooLarge())
    return HttpReadStatus::Malformed;
  http_errno Error = HTTP_PARSER_ERRNO(&m_parser->m_state);
  if (Error == HPE_HEADER_OVERFLOW)
    return HttpReadStatus::HeadTooLarge;
  if (!m_ended)
    return Error == HPE_OK ? HttpReadStatus::NeedsMore
                           : HttpReadStatus::Malformed;
  m_events.onMessageEnd();
  reset();
  return HttpReadStatus::MessageEnded;
}

bool HttpReader::endOfInput() {
  if (!m_started)
    return true;
  std::size_t Consumed = http_parser_execute(
      &m_parser->m_state, &m_parser->m_callbacks, nullptr, 0);
  (void)Consumed;
  if (!m_ended)
    return false;
  m_events.onMessageEnd();
  reset();
  return true;
}

bool HttpReader::insideMessage() const { return m_started; }

bool HttpReader::insideBody() const { return m_headDone; }

std::optional<std::uint64_t> HttpReader::announcedBytes() const {
  constexpr std::uint64_t NoLength = ~std::uint64_t{0};
  const http_parser &State = m_parser->m_state;
  if ((State.flags & F_CHUNKED) != 0 || State.content_length == NoLength)
    return std::nullopt;
  return State.content_length;
}

std::size_t HttpReader::heldBytes() const {
  const HttpFields &Fields =
      m_side == Side::Requests ? m_request.m_fields : m_response.m_fields;
  // A string takes up to twice its length.
  return 2 * m_headBytes + m_name.capacity() + m_value.capacity() +
         Fields.lines().capacity() * sizeof(HttpField);
}

} // namespace turmericdyke
