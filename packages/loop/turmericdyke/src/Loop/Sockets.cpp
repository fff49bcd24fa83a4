#include "turmericdyke/src/Loop/Sockets.h"

#include <arpa/inet.h>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <fmt/format.h>

#include "turmericdyke/src/Base/SocketAddress.h"

namespace turmericdyke::internal {

namespace {

constexpr int ListenBacklog = 256;
/// Keep-alive probes within the limit of `limitSilence`. TCP_USER_TIMEOUT also
/// decides when the probes give up, whatever TCP_KEEPCNT says, so a limit that
/// leaves room for one probe ends a connection when that one is lost.
constexpr int KeepAliveProbes = 3;

SocketError socketError(std::string_view What, std::string_view Address) {
  return {fmt::format("{} {}: {}", What, Address, std::strerror(errno))};
}

SocketError addressError(std::string_view Address) {
  return {fmt::format("not IP:port: {}", Address)};
}

void disableDelay(int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

Descriptor openSocket(const SocketAddress &Endpoint) {
  return Descriptor(socket(Endpoint.m_storage.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

} // namespace

Descriptor::Descriptor(Descriptor &&Other) noexcept
    : m_value(std::exchange(Other.m_value, -1)) {}

Descriptor &Descriptor::operator=(Descriptor &&Other) noexcept {
  std::swap(m_value, Other.m_value);
  return *this;
}

Descriptor::~Descriptor() {
  if (m_value >= 0)
    close(m_value);
}

Result<Descriptor, SocketError> listenOn(std::string_view Address) {
  std::optional<SocketAddress> Endpoint = parseSocketAddress(Address);
  if (!Endpoint)
    return failure(addressError(Address));
  Descriptor Socket = openSocket(*Endpoint);
  if (Socket.get() < 0)
    return failure(socketError("socket", Address));
  int On = 1;
  setsockopt(Socket.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  if (bind(Socket.get(), Endpoint->get(), Endpoint->m_size) != 0)
    return failure(socketError("bind", Address));
  if (listen(Socket.get(), ListenBacklog) != 0)
    return failure(socketError("listen", Address));
  return Socket;
}

Result<Descriptor, SocketError> connectTo(std::string_view Address) {
  std::optional<SocketAddress> Endpoint = parseSocketAddress(Address);
  if (!Endpoint)
    return failure(addressError(Address));
  Descriptor Socket = openSocket(*Endpoint);
  if (Socket.get() < 0)
    return failure(socketError("socket", Address));
  disableDelay(Socket.get());
  if (connect(Socket.get(), Endpoint->get(), Endpoint->m_size) != 0 &&
      errno != EINPROGRESS)
    return failure(socketError("connect", Address));
  return Socket;
}

Descriptor acceptFrom(const Descriptor &Listener) {
  Descriptor Socket(
      accept4(Listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.get() >= 0)
    disableDelay(Socket.get());
  return Socket;
}

std::string boundAddress(const Descriptor &Socket) {
  SocketAddress Endpoint;
  Endpoint.m_size = sizeof Endpoint.m_storage;
  if (getsockname(Socket.get(), Endpoint.get(), &Endpoint.m_size) != 0)
    return {};
  char Ip[INET6_ADDRSTRLEN] = {};
  if (Endpoint.m_storage.ss_family == AF_INET6) {
    auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Endpoint.m_storage);
    inet_ntop(AF_INET6, &V6->sin6_addr, Ip, sizeof Ip);
    return fmt::format("[{}]:{}", Ip, ntohs(V6->sin6_port));
  }
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Endpoint.m_storage);
  inet_ntop(AF_INET, &V4->sin_addr, Ip, sizeof Ip);
  return fmt::format("{}:{}", Ip, ntohs(V4->sin_port));
}

void limitSilence(const Descriptor &Socket, absl::Duration Limit) {
  unsigned UserTimeoutMs =
      static_cast<unsigned>(absl::ToInt64Milliseconds(Limit));
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof UserTimeoutMs);
  int On = 1;
  setsockopt(Socket.get(), SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
  int ProbeSeconds =
      static_cast<int>(absl::ToInt64Seconds(Limit / (KeepAliveProbes + 1)));
  assert(ProbeSeconds >= 1 && "the limit is too short for several probes");
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds,
             sizeof ProbeSeconds);
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds,
             sizeof ProbeSeconds);
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes,
             sizeof KeepAliveProbes);
}

void limitUnsent(const Descriptor &Socket, int Bytes) {
  setsockopt(Socket.get(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &Bytes,
             sizeof Bytes);
}

void limitReceived(const Descriptor &Socket, int Bytes) {
  setsockopt(Socket.get(), SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
}

int pendingError(const Descriptor &Socket) {
  int Code = 0;
  socklen_t Size = sizeof Code;
  if (getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Code, &Size) != 0)
    return errno;
  return Code;
}

std::optional<std::size_t> unacknowledgedBytes(const Descriptor &Socket) {
  int Bytes = 0;
  if (ioctl(Socket.get(), SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return std::nullopt;
  return static_cast<std::size_t>(Bytes);
}

} // namespace turmericdyke::internal
