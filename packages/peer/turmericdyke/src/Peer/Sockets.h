#pragma once

#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Peer/PeerError.h"

namespace turmericdyke::internal {

/// Owns a file descriptor.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Value) : m_value(Value) {}
  Descriptor(Descriptor &&Other) noexcept;
  Descriptor &operator=(Descriptor &&Other) noexcept;
  ~Descriptor();

  int get() const { return m_value; }

private:
  int m_value = -1;
};

/// Listens without blocking on `Address`, written IPv4:port or [IPv6]:port;
/// port 0 lets the system choose.
Result<Descriptor, PeerError> listenOn(std::string_view Address);

/// Starts a connection without blocking. The socket becomes writable when it
/// is established or has failed.
Result<Descriptor, PeerError> connectTo(std::string_view Address);

/// Takes a waiting connection; negative when there is none.
Descriptor acceptFrom(const Descriptor &Listener);

/// IP:port to which a socket is bound.
std::string boundAddress(const Descriptor &Socket);

} // namespace turmericdyke::internal
