#include "turmericdyke/src/Edge/ServiceRoute.h"

#include <fmt/format.h>

#include "absl/strings/ascii.h"
#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke {

namespace internal {
namespace {

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  for (char C : Text) {
    auto Octet = static_cast<unsigned char>(C);
    bool Plain = absl::ascii_isalnum(Octet) || C == '-' || C == '_' ||
                 C == '.' || C == '~';
    if (Plain)
      Encoded.push_back(C);
    else
      Encoded += fmt::format("%{:02X}", Octet);
  }
  return Encoded;
}

} // namespace
} // namespace internal

const ServiceOperation *findOperation(const PlainService &Service,
                                      std::string_view Method,
                                      std::string_view Path) {
  for (const ServiceOperation &Operation : Service.m_operations)
    if (Operation.m_method == Method && Operation.m_path == Path)
      return &Operation;
  return nullptr;
}

std::string statusPath(const ServiceOperation &Operation,
                       std::string_view Key) {
  constexpr std::string_view Parameter = "{key}";
  std::string Path = Operation.m_statusPath;
  std::size_t At = Path.find(Parameter);
  if (At != std::string::npos)
    Path.replace(At, Parameter.size(), internal::percentEncode(Key));
  return Path;
}

} // namespace turmericdyke
