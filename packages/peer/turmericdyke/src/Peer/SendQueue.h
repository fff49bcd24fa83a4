#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Peer/PeerMessages.h"

namespace turmericdyke {

/// Limits on the messages queued for one peer.
struct SendQueueLimits {
  std::size_t m_messages = 1024;
  std::size_t m_bytes = 32 << 20;
};

/// The bounded queue of messages to one peer, shared between callers and the
/// I/O thread.
class SendQueue {
public:
  struct Message {
    PeerMessageKind m_kind;
    std::string m_bytes;
  };
  enum class PushOutcome { Queued, DroppedOlder, Refused };

  explicit SendQueue(SendQueueLimits Limits) : m_limits(Limits) {}

  /// Whether a later message of the kind replaces earlier ones, so that the
  /// oldest may be dropped when the queue is full.
  static bool isReplaceable(PeerMessageKind Kind);

  /// Appends a message. A full queue drops the oldest messages of the same kind
  /// if it is replaceable, and otherwise refuses the new message.
  PushOutcome push(PeerMessageKind Kind, std::string Bytes);

  std::optional<Message> pop();
  bool empty() const;

private:
  bool hasRoom(std::size_t Bytes) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  bool dropOldest(PeerMessageKind Kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

  const SendQueueLimits m_limits;
  mutable absl::Mutex m_lock;
  std::deque<Message> m_messages ABSL_GUARDED_BY(m_lock);
  std::size_t m_bytes ABSL_GUARDED_BY(m_lock) = 0;
};

} // namespace turmericdyke
