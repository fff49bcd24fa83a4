#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/SwimMessage.h"

namespace turmericdyke {

struct NodeMembershipOptions {
  NodeId m_node;
  /// IP:port where this node listens for peers.
  std::string m_address;
  /// Drawn once per start of the process, higher than in earlier starts.
  std::uint64_t m_incarnation = 1;
  /// Addresses of nodes to contact until they are known and alive.
  std::vector<std::string> m_seeds;
  absl::Duration m_period = absl::Milliseconds(500);
  absl::Duration m_probeTimeout = absl::Milliseconds(200);
  std::size_t m_indirectProbes = 3;
  absl::Duration m_suspicionTimeout = absl::Seconds(3);
  /// How often a seed or dead node is contacted, so that two halves of a
  /// healed partition find each other.
  absl::Duration m_syncInterval = absl::Seconds(5);
  /// How long a dead or departed node is remembered.
  absl::Duration m_deadRetention = absl::Minutes(10);
  std::size_t m_maxMembers = 4096;
  /// With 8, suspicions and refutations of 100 nodes at 20 % loss did not
  /// spread in time, and live nodes were declared dead.
  std::size_t m_maxPiggyback = 32;
  /// Calls that come further apart mean that this process was paused.
  absl::Duration m_pauseThreshold = absl::Seconds(1);
};

/// A message to send. `m_to` is empty when only the address is known.
struct OutgoingSwimMessage {
  NodeId m_to;
  std::string m_address;
  SwimMessage m_message;
};

/// What membership asks of its caller: messages, and members whose state,
/// incarnation or address changed.
struct MembershipActions {
  std::vector<OutgoingSwimMessage> m_sends;
  std::vector<NodeUpdate> m_changes;
};

/// SWIM with suspicion. Call `tick` at least every 100 ms, `handle` for each
/// message, and perform `takeActions` after each. Not thread-safe.
///
/// The probe period and timeouts stretch while this node misses answers that
/// others got, and suspicions start anew after this process was paused, so
/// that a slow or paused node does not hold others dead.
class NodeMembership {
public:
  NodeMembership(NodeMembershipOptions Options, Instant Now);

  void handle(Instant Now, const SwimMessage &Message, absl::BitGenRef Random);
  void tick(Instant Now, absl::BitGenRef Random);
  /// Announces that this node leaves. It answers probes from now on but sends
  /// none.
  void leave(Instant Now, absl::BitGenRef Random);
  MembershipActions takeActions();

  /// All other nodes that are known, also dead ones.
  std::vector<NodeUpdate> members() const;
  /// Nothing for an unknown node; `Alive` for this one.
  std::optional<NodeState> stateOf(const NodeId &Node) const;
  /// Other nodes that are alive or suspect.
  std::vector<NodeId> liveNodes() const;
  std::uint64_t incarnation() const { return m_incarnation; }
  /// 0 when this node gets its answers; up to 8.
  int health() const { return m_health; }

private:
  struct Member {
    NodeUpdate m_update;
    Instant m_changedAt;
    Instant m_suspicionEnds;
    /// Whether this node raised the suspicion and so probes on.
    bool m_ownSuspicion = false;
  };
  struct Probe {
    NodeId m_target;
    std::uint64_t m_sequence = 0;
    Instant m_indirectAt;
    Instant m_endsAt;
    std::size_t m_nacksDue = 0;
    bool m_indirect = false;
    bool m_answered = false;
  };
  struct Relay {
    NodeId m_requester;
    std::string m_address;
    std::uint64_t m_sequence = 0;
    NodeId m_subject;
    Instant m_endsAt;
  };

  static bool isLive(const Member &Known);
  void notePause(Instant Now);
  void apply(Instant Now, NodeUpdate Update, bool FromTable);
  void applyToSelf(const NodeUpdate &Update);
  void set(Instant Now, Member &Known, const NodeUpdate &Update);
  void adjustHealth(int By);
  std::size_t transmissions() const;

  void handleAck(const SwimMessage &Message);
  void handlePingRequest(Instant Now, const SwimMessage &Message);
  void handleSync(Instant Now, const SwimMessage &Message);

  void expireSuspicions(Instant Now);
  void forgetDead(Instant Now);
  void advanceProbe(Instant Now, absl::BitGenRef Random);
  void requestProbes(absl::BitGenRef Random);
  void failProbe(Instant Now);
  void startProbe(Instant Now, absl::BitGenRef Random);
  std::optional<NodeId> nextTarget(absl::BitGenRef Random);
  void probeSuspects();
  void expireRelays(Instant Now);
  void contact(Instant Now, absl::BitGenRef Random);
  std::vector<std::string> strangers() const;

  SwimMessage message(SwimKind Kind, std::uint64_t Sequence) const;
  void send(const NodeId &To, std::string_view Address, SwimMessage Message);
  void piggyback(const NodeId &To, std::vector<NodeUpdate> &Updates);
  std::vector<NodeUpdate> table() const;
  std::uint64_t tableHash() const;

  NodeMembershipOptions m_options;
  std::uint64_t m_incarnation;
  bool m_leaving = false;
  int m_health = 0;
  std::map<NodeId, Member> m_members;
  /// Nodes whose last change is still to be piggybacked this many times.
  std::map<NodeId, std::size_t> m_gossip;
  std::vector<NodeId> m_order;
  std::optional<Probe> m_probe;
  std::map<std::uint64_t, Relay> m_relays;
  std::uint64_t m_sequence = 0;
  Instant m_lastCall;
  Instant m_nextPeriod;
  Instant m_nextContact;
  int m_contacts = 0;
  MembershipActions m_actions;
};

} // namespace turmericdyke
