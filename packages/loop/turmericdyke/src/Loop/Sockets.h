#pragma once

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

/// Listens without blocking on `Address`, written IPv4:port or [IPv6]:port;
/// port 0 lets the system choose.
Result<Descriptor, SocketError> listenOn(std::string_view Address);

/// Starts a connection without blocking. The socket becomes writable when it
/// is established or has failed.
Result<Descriptor, SocketError> connectTo(std::string_view Address);

/// Takes a waiting connection; negative when there is none.
Descriptor acceptFrom(const Descriptor &Listener);

/// IP:port to which a socket is bound.
std::string boundAddress(const Descriptor &Socket);

/// Ends a connection whose peer has not confirmed sent bytes, or does not
/// answer keep-alive probes, for `Limit`. Without this a connection to a host
/// that lost power hangs for minutes.
void limitSilence(const Descriptor &Socket, absl::Duration Limit);

/// Why the last operation on the socket failed; 0 if it did not.
int pendingError(const Descriptor &Socket);

} // namespace internal
} // namespace turmericdyke
