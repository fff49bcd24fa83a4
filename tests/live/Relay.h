#pragma once

#include <atomic>
#include <list>
#include <string>
#include <thread>

#include "turmericdyke/src/Peer/Sockets.h"

/// Passes bytes between its own loopback address and another one. While it is
/// cut it passes nothing, on connections that exist and on new ones, and closes
/// none of them. After `heal` the bytes that waited arrive.
class Relay {
public:
  explicit Relay(std::string To);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  const std::string &address() const { return m_address; }
  void cut() { m_cut = true; }
  void heal() { m_cut = false; }

private:
  struct Link {
    turmericdyke::internal::Descriptor m_client;
    turmericdyke::internal::Descriptor m_server;
    bool m_closed = false;
  };

  void run();
  void step(std::list<Link> &Links);
  static void pass(Link &Over, int From, int To);

  std::string m_to;
  turmericdyke::internal::Descriptor m_listener;
  std::string m_address;
  std::atomic<bool> m_cut{false};
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};
