#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Loop/Sockets.h"

namespace turmericdyke::internal {

/// Waits for the sockets of a transport with epoll(7), so that a wake-up costs
/// the same with ten connections and with a thousand. Sockets are watched under
/// identifiers, because a closed socket's descriptor may be used again at once.
class PeerPoll {
public:
  PeerPoll();

  std::uint64_t nextId() { return ++m_lastId; }
  /// Watches `Socket` under `Id`; a negative one is not watched. `Connection`
  /// counts the sockets that the peer has used so far.
  void watch(std::uint64_t Id, int Socket, std::uint64_t Connection,
             bool Write);
  /// Forgets an identifier. Its socket must have been closed, or is closed
  /// next.
  void forget(std::uint64_t Id) { m_watched.erase(Id); }

  struct Ready {
    std::uint64_t m_id = 0;
    std::uint32_t m_events = 0;
  };
  std::vector<Ready> wait(absl::Duration Timeout);

private:
  struct Watched {
    int m_socket = -1;
    std::uint64_t m_connection = 0;
    bool m_write = false;
  };

  Descriptor m_epoll;
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, Watched> m_watched;
};

} // namespace turmericdyke::internal
