#include "turmericdyke/src/Base/SocketAddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::uint32_t MaxPort = 65535;
constexpr std::size_t MaxPortDigits = 5;

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  bool Digits = std::all_of(Text.begin(), Text.end(),
                            [](char C) { return C >= '0' && C <= '9'; });
  bool LeadingZero = Text.size() > 1 && Text.front() == '0';
  if (Text.empty() || Text.size() > MaxPortDigits || !Digits || LeadingZero)
    return std::nullopt;
  std::uint32_t Number = 0;
  for (char Digit : Text)
    Number = Number * 10 + static_cast<std::uint32_t>(Digit - '0');
  if (Number > MaxPort)
    return std::nullopt;
  return static_cast<std::uint16_t>(Number);
}

bool parseIp(std::string_view Text, std::uint16_t Port, SocketAddress &Parsed) {
  // inet_pton(3) reads up to the first NUL byte.
  if (Text.find('\0') != std::string_view::npos)
    return false;
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Parsed.m_storage);
  if (inet_pton(AF_INET, std::string(Text).c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(Port);
    Parsed.m_size = sizeof(sockaddr_in);
    return true;
  }
  if (Text.size() < 2 || Text.front() != '[' || Text.back() != ']')
    return false;
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Parsed.m_storage);
  std::string Inner(Text.substr(1, Text.size() - 2));
  if (inet_pton(AF_INET6, Inner.c_str(), &V6->sin6_addr) != 1)
    return false;
  V6->sin6_family = AF_INET6;
  V6->sin6_port = htons(Port);
  Parsed.m_size = sizeof(sockaddr_in6);
  return true;
}

} // namespace
} // namespace internal

std::optional<SocketAddress> parseSocketAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::optional<std::uint16_t> Port =
      internal::parsePort(Text.substr(Colon + 1));
  SocketAddress Parsed;
  if (!Port || !internal::parseIp(Text.substr(0, Colon), *Port, Parsed))
    return std::nullopt;
  return Parsed;
}

bool isServerAddress(std::string_view Text) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Text);
  if (!Parsed)
    return false;
  if (Parsed->m_storage.ss_family == AF_INET) {
    const auto *V4 = reinterpret_cast<const sockaddr_in *>(&Parsed->m_storage);
    return V4->sin_port != 0 && V4->sin_addr.s_addr != htonl(INADDR_ANY);
  }
  const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(&Parsed->m_storage);
  return V6->sin6_port != 0 && !IN6_IS_ADDR_UNSPECIFIED(&V6->sin6_addr);
}

} // namespace turmericdyke
