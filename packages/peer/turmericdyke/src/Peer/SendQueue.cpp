#include "turmericdyke/src/Peer/SendQueue.h"

#include <algorithm>

namespace turmericdyke {

bool SendQueue::isReplaceable(PeerMessageKind Kind) {
  return Kind == PeerMessageKind::Raft || Kind == PeerMessageKind::Swim ||
         Kind == PeerMessageKind::TargetDigest;
}

bool SendQueue::hasRoom(std::size_t Bytes) const {
  return m_messages.size() < m_limits.m_messages &&
         m_bytes + Bytes <= m_limits.m_bytes;
}

bool SendQueue::dropOldest(PeerMessageKind Kind) {
  auto Oldest =
      std::find_if(m_messages.begin(), m_messages.end(),
                   [&](const Message &M) { return M.m_kind == Kind; });
  if (Oldest == m_messages.end())
    return false;
  m_bytes -= Oldest->m_bytes.size();
  m_messages.erase(Oldest);
  return true;
}

SendQueue::PushOutcome SendQueue::push(PeerMessageKind Kind,
                                       std::string Bytes) {
  absl::MutexLock Lock(&m_lock);
  PushOutcome Outcome = PushOutcome::Queued;
  while (!hasRoom(Bytes.size())) {
    if (Bytes.size() > m_limits.m_bytes || !isReplaceable(Kind) ||
        !dropOldest(Kind))
      return PushOutcome::Refused;
    Outcome = PushOutcome::DroppedOlder;
  }
  m_bytes += Bytes.size();
  m_messages.push_back({Kind, std::move(Bytes)});
  return Outcome;
}

std::optional<SendQueue::Message> SendQueue::pop() {
  absl::MutexLock Lock(&m_lock);
  if (m_messages.empty())
    return std::nullopt;
  Message First = std::move(m_messages.front());
  m_messages.pop_front();
  m_bytes -= First.m_bytes.size();
  return First;
}

bool SendQueue::empty() const {
  absl::MutexLock Lock(&m_lock);
  return m_messages.empty();
}

} // namespace turmericdyke
