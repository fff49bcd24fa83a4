#pragma once

#include <atomic>

namespace turmericdyke {

/// Raises the listen backlog of an HTTP server. cpp-httplib is built with a
/// backlog of 5: with 16 simultaneous new connections the kernel dropped some,
/// which were delayed by 1 s until the retransmission.
class ListenBacklog {
public:
  /// Stores the server's socket; called from its socket options callback.
  /// `raise` uses the last one.
  void setSocket(int Socket) { m_socket = Socket; }
  /// Calls listen(2) again with the larger backlog; must be called after the
  /// port was bound. Returns false on failure.
  bool raise();

private:
  std::atomic<int> m_socket{-1};
};

} // namespace turmericdyke
