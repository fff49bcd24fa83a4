#include "Relay.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

using turmericdyke::internal::Descriptor;

namespace {

constexpr int PollMilliseconds = 20;

} // namespace

Relay::Relay(std::string To)
    : m_to(std::move(To)),
      m_listener(
          std::move(turmericdyke::internal::listenOn("127.0.0.1:0").value())),
      m_address(turmericdyke::internal::boundAddress(m_listener)),
      m_thread([this] { run(); }) {}

Relay::~Relay() {
  m_stop = true;
  m_thread.join();
}

void Relay::run() {
  std::list<Link> Links;
  while (!m_stop) {
    if (m_cut)
      poll(nullptr, 0, PollMilliseconds);
    else
      step(Links);
  }
}

void Relay::step(std::list<Link> &Links) {
  std::vector<pollfd> Polled = {{m_listener.get(), POLLIN, 0}};
  for (const Link &Each : Links) {
    Polled.push_back({Each.m_client.get(), POLLIN, 0});
    Polled.push_back({Each.m_server.get(), POLLIN, 0});
  }
  poll(Polled.data(), Polled.size(), PollMilliseconds);
  if (m_cut)
    return;
  for (Link &Each : Links) {
    pass(Each, Each.m_client.get(), Each.m_server.get());
    pass(Each, Each.m_server.get(), Each.m_client.get());
  }
  Links.remove_if([](const Link &Each) { return Each.m_closed; });
  Descriptor Client = turmericdyke::internal::acceptFrom(m_listener);
  if (Client.get() < 0)
    return;
  auto Server = turmericdyke::internal::connectTo(m_to);
  if (Server)
    Links.push_back({std::move(Client), std::move(Server.value()), false});
}

void Relay::pass(Link &Over, int From, int To) {
  // The connection to the far side may not be established yet.
  pollfd Writable{To, POLLOUT, 0};
  if (poll(&Writable, 1, 0) == 0)
    return;
  char Buffer[65536];
  ssize_t Count = recv(From, Buffer, sizeof Buffer, MSG_DONTWAIT);
  if (Count < 0 && errno == EAGAIN)
    return;
  if (Count <= 0) {
    Over.m_closed = true;
    return;
  }
  for (ssize_t Done = 0; Done < Count;) {
    ssize_t Sent = send(To, Buffer + Done,
                        static_cast<std::size_t>(Count - Done), MSG_NOSIGNAL);
    if (Sent < 0 && errno != EAGAIN) {
      Over.m_closed = true;
      return;
    }
    if (Sent < 0)
      poll(&Writable, 1, PollMilliseconds);
    Done += std::max<ssize_t>(Sent, 0);
  }
}
