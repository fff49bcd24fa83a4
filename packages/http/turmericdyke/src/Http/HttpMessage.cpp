#include "turmericdyke/src/Http/HttpMessage.h"

#include <fmt/format.h>
#include <http_parser.h>

namespace turmericdyke {

namespace internal {
namespace {

void appendFields(std::string &Out, const HttpFields &Fields) {
  for (const HttpField &Line : Fields.lines()) {
    Out += Line.m_name;
    Out += ": ";
    Out += Line.m_value;
    Out += "\r\n";
  }
}

bool mayHaveBody(std::string_view Method) {
  return Method != "GET" && Method != "HEAD" && Method != "OPTIONS" &&
         Method != "DELETE";
}

} // namespace
} // namespace internal

std::string_view reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status));
}

std::string requestBytes(std::string_view Method, std::string_view Target,
                         const HttpFields &Fields, std::string_view Body) {
  std::string Out;
  Out.reserve(Body.size() + 512);
  Out.append(Method).append(" ").append(Target).append(" HTTP/1.1\r\n");
  internal::appendFields(Out, Fields);
  if (!Body.empty() || internal::mayHaveBody(Method))
    Out += fmt::format("Content-Length: {}\r\n", Body.size());
  Out += "\r\n";
  Out += Body;
  return Out;
}

std::string responseHead(int Status, const HttpFields &Fields,
                         BodyFraming Framing, std::uint64_t Length,
                         bool KeepAlive) {
  std::string Out =
      fmt::format("HTTP/1.1 {} {}\r\n", Status, reasonPhrase(Status));
  internal::appendFields(Out, Fields);
  if (Framing == BodyFraming::Length)
    Out += fmt::format("Content-Length: {}\r\n", Length);
  if (Framing == BodyFraming::Chunked)
    Out += "Transfer-Encoding: chunked\r\n";
  if (!KeepAlive)
    Out += "Connection: close\r\n";
  Out += "\r\n";
  return Out;
}

std::string chunk(std::string_view Bytes) {
  return fmt::format("{:x}\r\n{}\r\n", Bytes.size(), Bytes);
}

} // namespace turmericdyke
