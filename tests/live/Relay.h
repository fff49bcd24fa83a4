#pragma once

#include <atomic>
#include <list>
#include <optional>
#include <string>
#include <thread>

#include "turmericdyke/src/Loop/Sockets.h"

/// Forwards bytes from nodes to the peer address of another node. While a node
/// is cut off, bytes from and to it are held back on existing and new
/// connections, and no connection is closed. When the cut ends, these bytes are
/// delivered.
class Relay {
public:
  explicit Relay(std::string To);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// The address to which the nodes connect.
  const std::string &address() const { return m_address; }
  /// Cuts off exactly the nodes whose index is a set bit of `Sources`.
  void cut(unsigned Sources) { m_cut = Sources; }

private:
  struct Link {
    turmericdyke::internal::Descriptor m_client;
    turmericdyke::internal::Descriptor m_server;
    /// Index of the node that connected. Nothing is forwarded until it is
    /// known.
    std::optional<unsigned> m_source;
    bool m_closed = false;
  };

  void run();
  void step(std::list<Link> &Links);
  void accept(std::list<Link> &Links);
  bool isCut(const Link &Each) const;

  std::string m_to;
  turmericdyke::internal::Descriptor m_listener;
  std::string m_address;
  std::atomic<unsigned> m_cut{0};
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};
