#include "Relay.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <vector>

using turmericdyke::internal::Descriptor;

namespace {

constexpr int PollMilliseconds = 20;

/// Returns the index of the node that sent the `hello`; empty before the
/// `hello` has arrived.
std::optional<unsigned> sourceOf(int Socket) {
  // CBOR of the field "node" with a text of six bytes.
  constexpr std::string_view Mark = "nodefnode-";
  char Buffer[4096];
  ssize_t Count = recv(Socket, Buffer, sizeof Buffer, MSG_PEEK | MSG_DONTWAIT);
  if (Count <= 0)
    return std::nullopt;
  std::string_view Bytes(Buffer, static_cast<std::size_t>(Count));
  std::size_t At = Bytes.find(Mark);
  if (At == std::string_view::npos || At + Mark.size() >= Bytes.size())
    return std::nullopt;
  return static_cast<unsigned>(Bytes[At + Mark.size()] - '0');
}

/// Forwards the bytes that have arrived. Returns false if either side has
/// closed the connection.
bool pass(int From, int To) {
  // The connection to the other side may not be established yet.
  pollfd Writable{To, POLLOUT, 0};
  if (poll(&Writable, 1, 0) == 0)
    return true;
  char Buffer[65536];
  ssize_t Count = recv(From, Buffer, sizeof Buffer, MSG_DONTWAIT);
  if (Count < 0 && errno == EAGAIN)
    return true;
  if (Count <= 0)
    return false;
  for (ssize_t Done = 0; Done < Count;) {
    ssize_t Sent = send(To, Buffer + Done,
                        static_cast<std::size_t>(Count - Done), MSG_NOSIGNAL);
    if (Sent < 0 && errno != EAGAIN)
      return false;
    if (Sent < 0)
      poll(&Writable, 1, PollMilliseconds);
    Done += std::max<ssize_t>(Sent, 0);
  }
  return true;
}

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
  while (!m_stop)
    step(Links);
}

bool Relay::isCut(const Link &Each) const {
  return Each.m_source && (m_cut >> *Each.m_source & 1U) != 0;
}

void Relay::step(std::list<Link> &Links) {
  std::vector<pollfd> Polled = {{m_listener.get(), POLLIN, 0}};
  for (const Link &Each : Links) {
    if (isCut(Each))
      continue;
    Polled.push_back({Each.m_client.get(), POLLIN, 0});
    Polled.push_back({Each.m_server.get(), POLLIN, 0});
  }
  poll(Polled.data(), Polled.size(), PollMilliseconds);
  for (Link &Each : Links) {
    if (!Each.m_source)
      Each.m_source = sourceOf(Each.m_client.get());
    if (!Each.m_source || isCut(Each))
      continue;
    Each.m_closed = !pass(Each.m_client.get(), Each.m_server.get()) ||
                    !pass(Each.m_server.get(), Each.m_client.get());
  }
  Links.remove_if([](const Link &Each) { return Each.m_closed; });
  accept(Links);
}

void Relay::accept(std::list<Link> &Links) {
  Descriptor Client = turmericdyke::internal::acceptFrom(m_listener);
  if (Client.get() < 0)
    return;
  auto Server = turmericdyke::internal::connectTo(m_to);
  if (Server)
    Links.push_back(
        {std::move(Client), std::move(Server.value()), std::nullopt, false});
}
