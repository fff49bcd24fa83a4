#pragma once

#include <atomic>
#include <cerrno>
#include <list>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Loop/Sockets.h"

/// Forwards bytes between its own loopback address and another one. `freeze`
/// stops passing bytes on the connections that exist, without closing them,
/// while new connections work.
class RelaySocket {
public:
  explicit RelaySocket(std::string To)
      : m_to(std::move(To)),
        m_listener(
            std::move(turmericdyke::internal::listenOn("127.0.0.1:0").value())),
        m_thread([this] { run(); }) {}
  ~RelaySocket() {
    m_stop = true;
    m_thread.join();
  }
  RelaySocket(const RelaySocket &) = delete;
  RelaySocket &operator=(const RelaySocket &) = delete;

  std::string address() const {
    return turmericdyke::internal::boundAddress(m_listener);
  }
  void freeze() { m_freeze = true; }
  /// Bytes that were sent from the connecting to the accepting side.
  std::string recorded() const {
    absl::MutexLock Lock(&m_lock);
    return m_recorded;
  }
  std::size_t accepted() const { return m_accepted; }

private:
  struct Link {
    turmericdyke::internal::Descriptor m_client, m_server;
    bool m_frozen = false, m_closed = false;
  };

  void pass(Link &Over, int From, int To) {
    char Buffer[65536];
    ssize_t Count = recv(From, Buffer, sizeof Buffer, MSG_DONTWAIT);
    if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
      Over.m_closed = true;
      return;
    }
    if (Count > 0 && From == Over.m_client.get()) {
      absl::MutexLock Lock(&m_lock);
      m_recorded.append(Buffer, static_cast<std::size_t>(Count));
    }
    for (ssize_t Done = 0; Done < Count;) {
      pollfd Ready{To, POLLOUT, 0};
      poll(&Ready, 1, 100);
      ssize_t Sent = send(To, Buffer + Done,
                          static_cast<std::size_t>(Count - Done), MSG_NOSIGNAL);
      if (Sent < 0 && errno != EAGAIN) {
        Over.m_closed = true;
        return;
      }
      Done += std::max<ssize_t>(Sent, 0);
    }
  }

  void run() {
    std::list<Link> Links;
    while (!m_stop) {
      if (m_freeze.exchange(false))
        for (Link &Each : Links)
          Each.m_frozen = true;
      std::vector<pollfd> Polled = {{m_listener.get(), POLLIN, 0}};
      for (Link &Each : Links)
        if (!Each.m_frozen) {
          Polled.push_back({Each.m_client.get(), POLLIN, 0});
          Polled.push_back({Each.m_server.get(), POLLIN, 0});
        }
      poll(Polled.data(), Polled.size(), 10);
      if (m_freeze)
        continue;
      for (Link &Each : Links)
        if (!Each.m_frozen) {
          pass(Each, Each.m_client.get(), Each.m_server.get());
          pass(Each, Each.m_server.get(), Each.m_client.get());
        }
      Links.remove_if([](const Link &Each) { return Each.m_closed; });
      auto Client = turmericdyke::internal::acceptFrom(m_listener);
      if (Client.get() < 0)
        continue;
      ++m_accepted;
      auto Server = turmericdyke::internal::connectTo(m_to);
      if (Server)
        Links.push_back({std::move(Client), std::move(Server.value())});
    }
  }

  std::string m_to;
  turmericdyke::internal::Descriptor m_listener;
  std::atomic<bool> m_freeze{false}, m_stop{false};
  std::atomic<std::size_t> m_accepted{0};
  mutable absl::Mutex m_lock;
  std::string m_recorded ABSL_GUARDED_BY(m_lock);
  std::thread m_thread;
};
