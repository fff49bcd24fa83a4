#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"

namespace turmericdyke {

/// Why a socket could not be opened, bound or connected.
struct SocketError {
  std::string m_message;
};

namespace internal {

/// Owns a file descriptor.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Value) : m_value(Value) {}
  Descriptor(Descriptor &&Other) noexcept;
  Descriptor &operator=(Descriptor &&Other) noexcept;
  ~Descriptor();

  int get() const { return m_value; }
  explicit operator bool() const { return m_value >= 0; }

private:
  int m_value = -1;
};

/// Opens a non-blocking listening socket on `Address`, written IPv4:port or
/// [IPv6]:port; port 0 lets the system choose.
Result<Descriptor, SocketError> listenOn(std::string_view Address);

/// Starts a non-blocking connect. The socket becomes writable when it is
/// established or has failed.
Result<Descriptor, SocketError> connectTo(std::string_view Address);

/// Accepts a pending connection; negative if there is none.
Descriptor acceptFrom(const Descriptor &Listener);

/// IP:port to which a socket is bound.
std::string boundAddress(const Descriptor &Socket);

/// Ends a connection if its peer has not acknowledged sent bytes, or not
/// answered any of several keep-alive probes, for `Limit`, at least 4 s.
/// Without this a connection to a host that lost power hangs for minutes.
void limitSilence(const Descriptor &Socket, absl::Duration Limit);

/// Bounds the bytes that the kernel holds for a peer that does not read.
void limitUnsent(const Descriptor &Socket, int Bytes);

/// Bounds the received bytes that the kernel holds until they are read, about.
void limitReceived(const Descriptor &Socket, int Bytes);

/// The error code of the last failed operation on the socket; 0 if there is
/// none.
int pendingError(const Descriptor &Socket);

/// Bytes that were sent on a connected socket and that the kernel of the peer
/// has not acknowledged, also after the connection has ended. Nothing if the
/// system does not tell.
std::optional<std::size_t> unacknowledgedBytes(const Descriptor &Socket);

} // namespace internal
} // namespace turmericdyke
