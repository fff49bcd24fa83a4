#pragma once

#include <atomic>

namespace turmericdyke {

/// Raises the listen backlog of an HTTP server. cpp-httplib is built with a
/// backlog of 5: at 16 new connections at a time some were dropped by the
/// kernel and waited 1 s for their retransmission.
class ListenBacklog {
public:
  /// The server's socket, from its socket options callback; the last one before
  /// `raise` counts.
  void note(int Socket) { m_socket = Socket; }
  /// Calls listen(2) again with the larger backlog; call after the port was
  /// bound. False on failure.
  bool raise();

private:
  std::atomic<int> m_socket{-1};
};

} // namespace turmericdyke
