#pragma once

#include <optional>
#include <string_view>

#include <sys/socket.h>

namespace turmericdyke {

/// An IP address and port in the form that the socket calls take.
struct SocketAddress {
  sockaddr_storage m_storage{};
  socklen_t m_size = 0;

  sockaddr *get() { return reinterpret_cast<sockaddr *>(&m_storage); }
};

/// Parses IP:port with a port of 0 to 65535; an IPv6 address is in brackets.
/// nullopt if the text has another form, such as a host name or a port with a
/// sign or leading zeros.
std::optional<SocketAddress> parseSocketAddress(std::string_view Text);

/// Whether the text is the IP:port of a server that other hosts can connect to:
/// the port is not 0, and the IP address is not the unspecified one.
bool isServerAddress(std::string_view Text);

} // namespace turmericdyke
