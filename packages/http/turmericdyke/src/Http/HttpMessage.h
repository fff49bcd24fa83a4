#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Http/HttpFields.h"

namespace turmericdyke {

/// A request that was received in full.
struct HttpRequest {
  std::string m_method;
  /// Path and query as they were sent.
  std::string m_target;
  HttpFields m_fields;
  std::string m_body;
  bool m_keepAlive = true;
  /// True for HTTP/1.1 and later; an HTTP/1.0 caller does not understand
  /// chunks.
  bool m_acceptsChunked = true;
  /// When the last byte was read.
  Instant m_received = absl::InfinitePast();
};

/// Status line and header of a response.
struct HttpResponseHead {
  int m_status = 0;
  HttpFields m_fields;
  /// The connection may carry another request afterwards.
  bool m_keepAlive = true;
  /// Declared length of the body; nullopt if it is chunked or ends with the
  /// connection.
  std::optional<std::uint64_t> m_contentLength;
  /// The body ends with the connection.
  bool m_endsWithConnection = false;
};

/// A complete response.
struct HttpResponse {
  int m_status = 200;
  HttpFields m_fields;
  std::string m_body;
};

/// The standard reason phrase of a status.
std::string_view reasonPhrase(int Status);

/// Serializes a request, with Content-Length if needed. `Fields` must not
/// contain framing headers.
std::string requestBytes(std::string_view Method, std::string_view Target,
                         const HttpFields &Fields, std::string_view Body);

/// How the body of a response is framed.
enum class BodyFraming { Length, Chunked, UntilClose };

/// Serializes status line and header.
std::string responseHead(int Status, const HttpFields &Fields,
                         BodyFraming Framing, std::uint64_t Length,
                         bool KeepAlive);

/// Serializes one chunk; the empty chunk ends the body.
std::string chunk(std::string_view Bytes);

} // namespace turmericdyke
