#include "turmericdyke/src/Membership/NodeMembership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cstring>
#include <set>
#include <tuple>

#include <fmt/format.h>

#include "absl/random/random.h"
#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke {

namespace {

constexpr int MaxHealth = 8;
/// A refutation adds one, so no update may bring an incarnation near overflow.
constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 63;
constexpr std::size_t MaxTableEntries = 1024;
constexpr std::size_t MaxRelays = 256;
/// A departing node tells this many others itself.
constexpr std::size_t LeaveMessages = 16;
/// Every second contact also compares tables with a live node, which repairs
/// changes that piggybacking missed. This does not wait until no dead node is
/// left to contact: two nodes missed each other for good while one was.
constexpr int ContactsPerComparison = 2;

} // namespace

NodeMembership::NodeMembership(NodeMembershipOptions Options, Instant Now)
    : m_options(std::move(Options)), m_incarnation(m_options.m_incarnation),
      m_lastCall(Now), m_nextPeriod(Now), m_nextContact(Now) {
  assert(!m_options.m_node.empty() && "a node needs an identifier");
  assert(m_incarnation > 0 && m_incarnation < MaxIncarnation &&
         "incarnations leave room for refutations");
}

bool NodeMembership::isLive(const Member &Known) {
  return Known.m_update.m_state <= NodeState::Suspect;
}

MembershipActions NodeMembership::takeActions() {
  return std::exchange(m_actions, {});
}

std::vector<NodeUpdate> NodeMembership::members() const {
  std::vector<NodeUpdate> All;
  for (const auto &[Node, Known] : m_members)
    All.push_back(Known.m_update);
  return All;
}

std::optional<NodeState> NodeMembership::stateOf(const NodeId &Node) const {
  if (Node == m_options.m_node)
    return m_leaving ? NodeState::Left : NodeState::Alive;
  auto Found = m_members.find(Node);
  if (Found == m_members.end())
    return std::nullopt;
  return Found->second.m_update.m_state;
}

std::vector<NodeId> NodeMembership::liveNodes() const {
  std::vector<NodeId> Live;
  for (const auto &[Node, Known] : m_members)
    if (isLive(Known))
      Live.push_back(Node);
  return Live;
}

void NodeMembership::adjustHealth(int By) {
  m_health = std::clamp(m_health + By, 0, MaxHealth);
}

std::size_t NodeMembership::transmissions() const {
  return 3 * std::bit_width(m_members.size() + 1);
}

void NodeMembership::notePause(Instant Now) {
  absl::Duration Gap = Now - m_lastCall;
  m_lastCall = Now;
  if (Gap <= m_options.m_pauseThreshold)
    return;
  // Answers and refutations may have been missed or wait unread.
  m_probe.reset();
  m_relays.clear();
  m_nextPeriod = Now;
  for (auto &[Node, Known] : m_members)
    if (Known.m_update.m_state == NodeState::Suspect)
      Known.m_suspicionEnds = Now + m_options.m_suspicionTimeout;
  adjustHealth(2);
}

void NodeMembership::applyToSelf(const NodeUpdate &Update) {
  bool Wrong = Update.m_state != NodeState::Alive;
  if (m_leaving || Update.m_incarnation < m_incarnation ||
      (Update.m_incarnation == m_incarnation && !Wrong))
    return;
  m_incarnation = Update.m_incarnation + 1;
  if (Wrong)
    adjustHealth(1);
}

void NodeMembership::apply(Instant Now, NodeUpdate Update, bool FromTable) {
  if (Update.m_node.empty() || Update.m_incarnation >= MaxIncarnation)
    return;
  if (Update.m_node == m_options.m_node)
    return applyToSelf(Update);
  auto Found = m_members.find(Update.m_node);
  if (Found == m_members.end()) {
    if (Update.m_state > NodeState::Suspect || Update.m_address.empty() ||
        m_members.size() >= m_options.m_maxMembers)
      return;
    set(Now, m_members[Update.m_node], Update);
    // Whoever admitted the node spreads that; a whole table would keep the
    // updates of all who join from spreading for minutes.
    if (FromTable)
      m_gossip.erase(Update.m_node);
    return;
  }
  Member &Known = Found->second;
  // A table may come from the other half of a partition. The node in question
  // gets the time of a suspicion to refute what that half concluded.
  if (FromTable && Update.m_state == NodeState::Dead && isLive(Known))
    Update.m_state = NodeState::Suspect;
  bool Newer = Update.m_incarnation > Known.m_update.m_incarnation ||
               (Update.m_incarnation == Known.m_update.m_incarnation &&
                Update.m_state > Known.m_update.m_state);
  if (Newer)
    set(Now, Known, Update);
}

void NodeMembership::set(Instant Now, Member &Known, const NodeUpdate &Update) {
  std::string Address =
      Update.m_address.empty() ? Known.m_update.m_address : Update.m_address;
  Known.m_update = Update;
  Known.m_update.m_address = std::move(Address);
  Known.m_changedAt = Now;
  Known.m_ownSuspicion = false;
  Known.m_suspicionEnds =
      Now + m_options.m_suspicionTimeout * (1 + m_health / 4.0);
  m_gossip[Update.m_node] = transmissions();
  m_actions.m_changes.push_back(Known.m_update);
}

SwimMessage NodeMembership::message(SwimKind Kind,
                                    std::uint64_t Sequence) const {
  SwimMessage Message;
  Message.m_kind = Kind;
  Message.m_from = m_options.m_node;
  Message.m_address = m_options.m_address;
  Message.m_incarnation = m_incarnation;
  Message.m_leaving = m_leaving;
  Message.m_sequence = Sequence;
  return Message;
}

void NodeMembership::piggyback(const NodeId &To,
                               std::vector<NodeUpdate> &Updates) {
  // A node that is not held alive hears it first, so that it can refute.
  auto Receiver = m_members.find(To);
  if (Receiver != m_members.end() &&
      Receiver->second.m_update.m_state != NodeState::Alive)
    Updates.push_back(Receiver->second.m_update);
  using Entry = std::pair<const NodeId, std::size_t>;
  std::vector<Entry *> Due;
  for (Entry &Each : m_gossip)
    if (Each.first != To)
      Due.push_back(&Each);
  std::size_t Count = std::min(Due.size(), m_options.m_maxPiggyback);
  std::partial_sort(
      Due.begin(), Due.begin() + static_cast<std::ptrdiff_t>(Count), Due.end(),
      [](const Entry *A, const Entry *B) {
        return std::tie(B->second, A->first) < std::tie(A->second, B->first);
      });
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Updates.push_back(m_members[Due[Index]->first].m_update);
    --Due[Index]->second;
  }
  std::erase_if(m_gossip, [](const Entry &Each) { return Each.second == 0; });
}

void NodeMembership::send(const NodeId &To, std::string_view Address,
                          SwimMessage Message) {
  if (Message.m_kind != SwimKind::SyncReply)
    piggyback(To, Message.m_updates);
  m_actions.m_sends.push_back({To, std::string(Address), std::move(Message)});
}

void NodeMembership::handle(Instant Now, const SwimMessage &Message,
                            absl::BitGenRef) {
  notePause(Now);
  if (Message.m_from == m_options.m_node)
    return;
  apply(Now,
        {Message.m_from, Message.m_address, Message.m_incarnation,
         Message.m_leaving ? NodeState::Left : NodeState::Alive},
        false);
  bool FromTable = Message.m_kind == SwimKind::SyncReply;
  for (const NodeUpdate &Update : Message.m_updates)
    apply(Now, Update, FromTable);
  switch (Message.m_kind) {
  case SwimKind::Ping:
    return send(Message.m_from, Message.m_address,
                message(SwimKind::Ack, Message.m_sequence));
  case SwimKind::PingRequest:
    return handlePingRequest(Now, Message);
  case SwimKind::Ack:
    return handleAck(Message);
  case SwimKind::Nack:
    if (m_probe && m_probe->m_sequence == Message.m_sequence &&
        m_probe->m_nacksDue > 0)
      --m_probe->m_nacksDue;
    return;
  case SwimKind::SyncRequest:
  case SwimKind::SyncReply:
    return handleSync(Now, Message);
  }
}

void NodeMembership::handlePingRequest(Instant Now,
                                       const SwimMessage &Message) {
  if (Message.m_subject.empty() || Message.m_subjectAddress.empty() ||
      Message.m_subject == m_options.m_node || m_relays.size() >= MaxRelays)
    return;
  std::uint64_t Sequence = ++m_sequence;
  m_relays[Sequence] = {Message.m_from, Message.m_address, Message.m_sequence,
                        Message.m_subject, Now + m_options.m_probeTimeout};
  send(Message.m_subject, Message.m_subjectAddress,
       message(SwimKind::Ping, Sequence));
}

void NodeMembership::handleAck(const SwimMessage &Message) {
  auto Found = m_relays.find(Message.m_sequence);
  if (Found != m_relays.end() && Found->second.m_subject == Message.m_from) {
    Relay Over = std::move(Found->second);
    m_relays.erase(Found);
    SwimMessage Answer = message(SwimKind::Ack, Over.m_sequence);
    Answer.m_subject = Over.m_subject;
    return send(Over.m_requester, Over.m_address, std::move(Answer));
  }
  if (!m_probe || m_probe->m_sequence != Message.m_sequence ||
      m_probe->m_answered)
    return;
  if (m_probe->m_target != Message.m_from &&
      m_probe->m_target != Message.m_subject)
    return;
  m_probe->m_answered = true;
  adjustHealth(-1);
}

void NodeMembership::handleSync(Instant Now, const SwimMessage &Message) {
  (void)Now;
  bool Answer = Message.m_kind == SwimKind::SyncRequest
                    ? Message.m_tableHash != tableHash()
                    : Message.m_wantsReply;
  if (!Answer)
    return;
  SwimMessage Reply = message(SwimKind::SyncReply, Message.m_sequence);
  Reply.m_wantsReply = Message.m_kind == SwimKind::SyncRequest;
  Reply.m_updates = table();
  send(Message.m_from, Message.m_address, std::move(Reply));
}

std::vector<NodeUpdate> NodeMembership::table() const {
  std::vector<NodeUpdate> All = members();
  if (All.size() > MaxTableEntries)
    All.resize(MaxTableEntries);
  return All;
}

std::uint64_t NodeMembership::tableHash() const {
  // The same on each node, so no hash that is seeded per process. A suspicion
  // is no difference: it ends by itself.
  auto HashOf = [](const NodeId &Node, std::uint64_t Incarnation) {
    std::string Digest = sha256(fmt::format("{} {}", Incarnation, Node.str()));
    std::uint64_t Hash = 0;
    std::memcpy(&Hash, Digest.data(), sizeof Hash);
    return Hash;
  };
  std::uint64_t Sum = HashOf(m_options.m_node, m_incarnation);
  for (const auto &[Node, Known] : m_members)
    if (isLive(Known))
      Sum += HashOf(Node, Known.m_update.m_incarnation);
  return Sum == 0 ? 1 : Sum;
}

void NodeMembership::tick(Instant Now, absl::BitGenRef Random) {
  notePause(Now);
  if (m_leaving)
    return;
  expireSuspicions(Now);
  advanceProbe(Now, Random);
  expireRelays(Now);
  if (Now >= m_nextContact)
    contact(Now, Random);
}

void NodeMembership::expireSuspicions(Instant Now) {
  for (auto &[Node, Known] : m_members) {
    if (Known.m_update.m_state != NodeState::Suspect ||
        Now < Known.m_suspicionEnds)
      continue;
    NodeUpdate Update = Known.m_update;
    Update.m_state = NodeState::Dead;
    set(Now, Known, Update);
  }
}

void NodeMembership::forgetDead(Instant Now) {
  std::erase_if(m_members, [&](const auto &Entry) {
    if (isLive(Entry.second) ||
        Now - Entry.second.m_changedAt < m_options.m_deadRetention)
      return false;
    m_gossip.erase(Entry.first);
    return true;
  });
}

void NodeMembership::advanceProbe(Instant Now, absl::BitGenRef Random) {
  if (m_probe && !m_probe->m_answered) {
    if (Now >= m_probe->m_endsAt)
      failProbe(Now);
    else if (Now >= m_probe->m_indirectAt && !m_probe->m_indirect)
      requestProbes(Random);
  }
  if (Now < m_nextPeriod)
    return;
  forgetDead(Now);
  probeSuspects();
  startProbe(Now, Random);
}

void NodeMembership::requestProbes(absl::BitGenRef Random) {
  m_probe->m_indirect = true;
  auto Target = m_members.find(m_probe->m_target);
  if (Target == m_members.end())
    return;
  std::vector<NodeId> Helpers = liveNodes();
  std::erase(Helpers, m_probe->m_target);
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(std::min(Helpers.size(), m_options.m_indirectProbes));
  for (const NodeId &Helper : Helpers) {
    SwimMessage Request = message(SwimKind::PingRequest, m_probe->m_sequence);
    Request.m_subject = m_probe->m_target;
    Request.m_subjectAddress = Target->second.m_update.m_address;
    send(Helper, m_members[Helper].m_update.m_address, std::move(Request));
  }
  m_probe->m_nacksDue = Helpers.size();
}

void NodeMembership::failProbe(Instant Now) {
  // Helpers that answered neither way point to a fault at this node.
  int Missed = static_cast<int>(m_probe->m_nacksDue);
  adjustHealth(Missed > 0 ? Missed : 0);
  auto Found = m_members.find(m_probe->m_target);
  m_probe.reset();
  if (Found == m_members.end() ||
      Found->second.m_update.m_state != NodeState::Alive)
    return;
  NodeUpdate Update = Found->second.m_update;
  Update.m_state = NodeState::Suspect;
  set(Now, Found->second, Update);
  Found->second.m_ownSuspicion = true;
}

std::optional<NodeId> NodeMembership::nextTarget(absl::BitGenRef Random) {
  for (int Round = 0; Round < 2; ++Round) {
    while (!m_order.empty()) {
      NodeId Node = std::move(m_order.back());
      m_order.pop_back();
      auto Found = m_members.find(Node);
      if (Found != m_members.end() && isLive(Found->second))
        return Node;
    }
    m_order = liveNodes();
    std::shuffle(m_order.begin(), m_order.end(), Random);
  }
  return std::nullopt;
}

void NodeMembership::startProbe(Instant Now, absl::BitGenRef Random) {
  double Stretch = 1 + m_health;
  m_nextPeriod = Now + m_options.m_period * Stretch;
  m_probe.reset();
  std::optional<NodeId> Target = nextTarget(Random);
  if (!Target)
    return;
  Probe Next;
  Next.m_target = *Target;
  Next.m_sequence = ++m_sequence;
  Next.m_indirectAt = Now + m_options.m_probeTimeout * Stretch;
  Next.m_endsAt = m_nextPeriod;
  m_probe = Next;
  send(*Target, m_members[*Target].m_update.m_address,
       message(SwimKind::Ping, m_probe->m_sequence));
}

void NodeMembership::probeSuspects() {
  for (const auto &[Node, Known] : m_members)
    if (Known.m_ownSuspicion && Known.m_update.m_state == NodeState::Suspect)
      send(Node, Known.m_update.m_address,
           message(SwimKind::Ping, ++m_sequence));
}

void NodeMembership::expireRelays(Instant Now) {
  for (auto Entry = m_relays.begin(); Entry != m_relays.end();) {
    if (Now < Entry->second.m_endsAt) {
      ++Entry;
      continue;
    }
    Relay Over = std::move(Entry->second);
    Entry = m_relays.erase(Entry);
    SwimMessage Answer = message(SwimKind::Nack, Over.m_sequence);
    Answer.m_subject = Over.m_subject;
    send(Over.m_requester, Over.m_address, std::move(Answer));
  }
}

std::vector<std::string> NodeMembership::strangers() const {
  std::set<std::string> Live = {m_options.m_address};
  std::set<std::string> Found(m_options.m_seeds.begin(),
                              m_options.m_seeds.end());
  for (const auto &[Node, Known] : m_members) {
    if (isLive(Known))
      Live.insert(Known.m_update.m_address);
    if (Known.m_update.m_state == NodeState::Dead)
      Found.insert(Known.m_update.m_address);
  }
  std::vector<std::string> Result;
  std::set_difference(Found.begin(), Found.end(), Live.begin(), Live.end(),
                      std::back_inserter(Result));
  return Result;
}

void NodeMembership::contact(Instant Now, absl::BitGenRef Random) {
  std::vector<std::string> Addresses = strangers();
  std::vector<NodeId> Live = liveNodes();
  // A node that knows nobody serves nobody, so it asks more often.
  m_nextContact =
      Now + (Live.empty() ? m_options.m_period : m_options.m_syncInterval);
  SwimMessage Request = message(SwimKind::SyncRequest, ++m_sequence);
  Request.m_tableHash = tableHash();
  if (!Addresses.empty()) {
    std::size_t Pick = absl::Uniform<std::size_t>(Random, 0, Addresses.size());
    send({}, Addresses[Pick], Request);
  }
  if (Live.empty() || ++m_contacts % ContactsPerComparison != 0)
    return;
  const NodeId &To = Live[absl::Uniform<std::size_t>(Random, 0, Live.size())];
  send(To, m_members[To].m_update.m_address, std::move(Request));
}

void NodeMembership::leave(Instant Now, absl::BitGenRef Random) {
  notePause(Now);
  m_leaving = true;
  m_probe.reset();
  std::vector<NodeId> Live = liveNodes();
  std::shuffle(Live.begin(), Live.end(), Random);
  Live.resize(std::min(Live.size(), LeaveMessages));
  for (const NodeId &To : Live)
    send(To, m_members[To].m_update.m_address,
         message(SwimKind::Ping, ++m_sequence));
}

} // namespace turmericdyke
