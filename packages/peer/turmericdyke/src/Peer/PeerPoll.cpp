#include "turmericdyke/src/Peer/PeerPoll.h"

#include <cerrno>
#include <sys/epoll.h>

namespace turmericdyke::internal {

namespace {

constexpr int MaxEvents = 128;

} // namespace

PeerPoll::PeerPoll() : m_epoll(epoll_create1(EPOLL_CLOEXEC)) {}

void PeerPoll::watch(std::uint64_t Id, int Socket, std::uint64_t Connection,
                     bool Write) {
  Watched &Known = m_watched[Id];
  // The kernel forgets a closed socket by itself.
  bool Same = Known.m_socket == Socket && Known.m_connection == Connection;
  if (Same && Known.m_write == Write)
    return;
  Known = {Socket, Connection, Write};
  if (Socket < 0)
    return;
  epoll_event Event{};
  Event.events = EPOLLIN | (Write ? EPOLLOUT : 0U);
  Event.data.u64 = Id;
  int Operation = Same ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  epoll_ctl(m_epoll.get(), Operation, Socket, &Event);
}

std::vector<PeerPoll::Ready> PeerPoll::wait(absl::Duration Timeout) {
  epoll_event Events[MaxEvents];
  int Millis = static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(Timeout, absl::Milliseconds(1))));
  int Count = epoll_wait(m_epoll.get(), Events, MaxEvents, Millis);
  std::vector<Ready> Found;
  for (int At = 0; At < Count; ++At)
    if (m_watched.contains(Events[At].data.u64))
      Found.push_back({Events[At].data.u64, Events[At].events});
  return Found;
}

} // namespace turmericdyke::internal
