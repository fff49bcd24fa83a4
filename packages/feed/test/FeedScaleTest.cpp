#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/Feed"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
const std::string Document = "routes";
constexpr absl::Duration Step = absl::Milliseconds(10);

template <class Message> std::size_t bytesOf(const Message &Value) {
  return nlohmann::json::to_cbor(toJson(Value)).size();
}

/// Messages and bytes that one coordinator receives and sends.
struct Traffic {
  std::size_t m_messages = 0;
  std::size_t m_bytes = 0;
  template <class Message> void count(const Message &Value) {
    ++m_messages;
    m_bytes += bytesOf(Value);
  }
};

/// One leader, four relays and many entry nodes in virtual time. Messages
/// arrive within a step. Each entry node has requests at four targets.
class FeedFleet {
public:
  /// With `Domains`, the entry nodes are spread over as many failure domains
  /// and take requests of each other.
  FeedFleet(std::size_t Entries, std::size_t Targets, std::size_t Domains = 0)
      : m_targets(Targets), m_relayAddresses(Entries) {
    for (const char *Name : {"c0", "c1", "c2", "c3", "c4"}) {
      m_nodes.emplace_back(Name);
      m_relays.emplace_back(NodeId(Name));
    }
    m_publishers.resize(m_nodes.size());
    m_traffic.resize(m_nodes.size());
    m_down.resize(m_nodes.size(), false);
    for (std::size_t At = 0; At < Entries; ++At) {
      std::string Domain = Domains == 0 ? "" : fmt::format("d{}", At % Domains);
      m_followers.emplace_back(
          NodeId(fmt::format("10.0.{}.{}:7000", At % 5, At)), m_nodes,
          FeedFollowerOptions(), FailureDomainId(Domain));
      if (Domains > 0)
        restore(At);
    }
    setTargets(1);
  }

  void setTargets(std::uint64_t Generation) {
    std::vector<ServingTarget> List;
    for (std::size_t At = 0; At < m_targets; ++At) {
      ServingTarget Value;
      Value.m_id = TargetId(fmt::format("i-{:08x}", At * 2654435761U));
      Value.m_service = ServiceId("llm");
      Value.m_address = "10.0.0.1:8080";
      Value.m_model = "model";
      Value.m_generation = At == 0 ? Generation : 1;
      List.push_back(Value);
    }
    m_publishers[0].setTargets(Start, List);
  }

  void run(absl::Duration For) {
    for (Instant Until = m_now + For; m_now < Until; m_now += Step) {
      tickRelays();
      pushUpdates();
      tickFollowers();
    }
  }

  /// Spreads the coordinators over the failure domains. A relay then feeds
  /// entry nodes of its own.
  void placeCoordinators(std::size_t Domains) {
    for (std::size_t At = 0; At < m_nodes.size(); ++At)
      m_domains[m_nodes[At]] =
          FailureDomainId(fmt::format("d{}", At % Domains));
  }
  void stop(std::size_t Coordinator) { m_down[Coordinator] = true; }
  /// The entry node takes no requests of others.
  void cutOff(std::size_t Entry) { m_relayAddresses[Entry].clear(); }
  void restore(std::size_t Entry) {
    m_relayAddresses[Entry] = fmt::format("10.0.{}.{}:7001", Entry % 5, Entry);
  }
  bool isCutOff(const EntryPeer &Peer) const {
    return m_relayAddresses[m_byNode.at(Peer.m_node)].empty();
  }
  /// Bytes a second and entry node, requests and updates together, since the
  /// last call.
  double takeBytesPerSecond() {
    double Seconds = absl::ToDoubleSeconds(m_now - m_entryTrafficSince);
    double Bytes =
        static_cast<double>(std::exchange(m_entryTraffic, {}).m_bytes);
    m_entryTrafficSince = m_now;
    return Bytes / Seconds / static_cast<double>(m_followers.size());
  }
  const std::vector<FeedFollower> &followers() const { return m_followers; }
  Traffic &traffic(std::size_t Coordinator) { return m_traffic[Coordinator]; }
  Instant now() const { return m_now; }

  /// Entry nodes that know a generation of the first target.
  std::size_t informed(std::uint64_t Generation) const {
    std::size_t Count = 0;
    for (const FeedFollower &Follower : m_followers)
      for (const auto &[Id, Target] : Follower.targets())
        Count += Target.m_generation == Generation ? 1 : 0;
    return Count;
  }

private:
  FeedContext context(std::size_t Coordinator) const {
    FeedContext Value;
    Value.m_routingVersion = 1;
    Value.m_routingDocument = &Document;
    Value.m_domains = m_domains;
    if (Coordinator > 0 && m_relays[Coordinator].isFresh(m_now)) {
      m_relays[Coordinator].fillContext(m_now, Value);
      return Value;
    }
    Value.m_term = 1;
    Value.m_leader = m_nodes[0];
    Value.m_leads = Coordinator == 0;
    Value.m_complete = true;
    Value.m_coordinators = m_nodes;
    return Value;
  }

  void tickRelays() {
    for (std::size_t At = 1; At < m_nodes.size(); ++At) {
      if (m_down[At] || m_now < m_relays[At].nextRequest())
        continue;
      FeedRequest Request = m_relays[At].request(m_now, m_publishers[At]);
      m_traffic[0].count(Request);
      FeedUpdate Update = m_publishers[0].respond(m_now, Request, context(0));
      m_traffic[0].count(Update);
      m_relays[At].receive(m_now, Update, m_publishers[At]);
    }
  }

  void pushUpdates() {
    for (std::size_t At = 0; At < m_nodes.size(); ++At) {
      if (m_down[At])
        continue;
      for (const auto &[Node, Update] :
           m_publishers[At].pendingUpdates(m_now, context(At))) {
        m_traffic[At].count(Update);
        deliver(Node, Update);
      }
    }
  }

  void deliver(const NodeId &Node, const FeedUpdate &Update) {
    for (std::size_t At = 1; At < m_nodes.size(); ++At)
      if (m_nodes[At] == Node && !m_down[At])
        m_relays[At].receive(m_now, Update, m_publishers[At]);
    auto Found = m_byNode.find(Node);
    if (Found == m_byNode.end())
      return;
    m_entryTraffic.count(Update);
    m_followers[Found->second].receive(m_now, Update);
  }

  void tickFollowers() {
    for (std::size_t At = 0; At < m_followers.size(); ++At) {
      std::vector<TargetUse> Uses;
      for (std::size_t Use = 0; Use < 4; ++Use)
        Uses.push_back({TargetId(fmt::format(
                            "i-{:08x}", (At + Use) % m_targets * 2654435761U)),
                        1});
      for (auto &Ask : m_followers[At].tick(m_now, Uses)) {
        auto Node =
            std::find(m_nodes.begin(), m_nodes.end(), Ask.m_coordinator);
        std::size_t Coordinator =
            static_cast<std::size_t>(Node - m_nodes.begin());
        if (m_down[Coordinator])
          continue;
        Ask.m_request.m_routingVersion = 1;
        Ask.m_request.m_relayAddress = m_relayAddresses[At];
        m_byNode[Ask.m_request.m_node] = At;
        m_traffic[Coordinator].count(Ask.m_request);
        m_entryTraffic.count(Ask.m_request);
        FeedUpdate Update = m_publishers[Coordinator].respond(
            m_now, Ask.m_request, context(Coordinator));
        m_traffic[Coordinator].count(Update);
        m_entryTraffic.count(Update);
        m_followers[At].receive(m_now, Update);
      }
    }
  }

  std::size_t m_targets;
  Instant m_now = Start;
  std::vector<NodeId> m_nodes;
  std::vector<FeedPublisher> m_publishers;
  std::vector<FeedRelay> m_relays;
  std::vector<FeedFollower> m_followers;
  std::vector<Traffic> m_traffic;
  std::vector<bool> m_down;
  CoordinatorDomains m_domains;
  std::map<NodeId, std::size_t> m_byNode;
  /// Where each entry node takes requests of others; empty for nowhere.
  std::vector<std::string> m_relayAddresses;
  Traffic m_entryTraffic;
  Instant m_entryTrafficSince = Start;
};

} // namespace

// Guards against a leader whose messages grow with the entry nodes, as before
// relays, when 295 nodes cost it 1,180 requests a second. The design bounds a
// coordinator to 19 KB a second for each node that it serves.
TEST_CASE("the leader's messages do not grow with the entry nodes") {
  std::map<std::size_t, Traffic> OfLeader;
  for (std::size_t Entries : {120, 295}) {
    FeedFleet Fleet(Entries, 142);
    Fleet.run(absl::Seconds(5));
    for (std::size_t At = 0; At < 5; ++At)
      Fleet.traffic(At) = Traffic();
    Fleet.run(absl::Seconds(5));
    OfLeader[Entries] = Fleet.traffic(0);
    for (std::size_t At = 1; At < 5; ++At)
      CHECK(static_cast<double>(Fleet.traffic(At).m_bytes) / 5 <
            19e3 * static_cast<double>(Entries));
  }
  CHECK(OfLeader[295].m_messages <= OfLeader[120].m_messages + 10);
  // Four relays that ask twenty times a second, and their responses.
  CHECK(OfLeader[295].m_messages <= 5 * 4 * 20 * 2 + 20);
}

// Guards against entry nodes that keep sending to an ended target, or lose
// their state and their lease, as a relay dies.
TEST_CASE("a change reaches all entry nodes, also after a relay has died") {
  FeedFleet Fleet(295, 142);
  Fleet.run(absl::Seconds(3));
  CHECK(Fleet.informed(1) == 295 * 142);
  Fleet.setTargets(2);
  Fleet.run(absl::Milliseconds(100));
  CHECK(Fleet.informed(2) == 295);
  Fleet.stop(2);
  Fleet.setTargets(3);
  Fleet.run(absl::Milliseconds(1500));
  CHECK(Fleet.informed(3) == 295);
  for (const FeedFollower &Follower : Fleet.followers())
    CHECK(Follower.leaseUntil() > Fleet.now() + absl::Seconds(2));
}

// Guards against counts that miss or double requests of nodes at other
// coordinators. Each of 295 nodes has one request at four targets.
TEST_CASE("all entry nodes learn the same sums of requests") {
  FeedFleet Fleet(295, 5);
  Fleet.run(absl::Seconds(4));
  for (const FeedFollower &Follower : Fleet.followers()) {
    std::int64_t Sum = 0;
    for (const auto &[Id, Target] : Follower.targets())
      Sum += Follower.requestsOfOthers(Id);
    CHECK(Sum == 294 * 4);
    CHECK(Follower.entryNodes() == 295);
  }
}

// Guards against peer lists that use up what a node may spend on control, at
// rest or as one in five nodes is cut off from its targets, and against nodes
// that pass requests on to those.
TEST_CASE("1,000 entry nodes know six sound peers each within the bytes for "
          "control") {
  constexpr double MaxBytesPerSecond = 19e3;
  constexpr std::size_t Entries = 1000;
  FeedFleet Without(Entries, 142);
  Without.run(absl::Seconds(2));
  Without.takeBytesPerSecond();
  Without.run(absl::Seconds(2));
  double Before = Without.takeBytesPerSecond();
  FeedFleet Fleet(Entries, 142, 5);
  Fleet.run(absl::Seconds(2));
  Fleet.takeBytesPerSecond();
  Fleet.traffic(0) = Traffic();
  Fleet.run(absl::Seconds(2));
  double AtRest = Fleet.takeBytesPerSecond();
  std::size_t LeaderAtRest = std::exchange(Fleet.traffic(0), {}).m_bytes / 2;
  for (const FeedFollower &Follower : Fleet.followers())
    CHECK(Follower.peers().size() == PeersOfNode);
  // One node in five, of all failure domains.
  for (std::size_t At = 0; At < Entries; ++At)
    if (At * 2654435761U % 1000 < 200)
      Fleet.cutOff(At);
  // Until each has stated it and each other has asked again, plus the interval
  // of collecting candidates and a step.
  Fleet.run(absl::Milliseconds(560));
  for (const FeedFollower &Follower : Fleet.followers()) {
    CHECK(Follower.peers().size() == PeersOfNode);
    for (const EntryPeer &Peer : Follower.peers())
      CHECK_FALSE(Fleet.isCutOff(Peer));
  }
  Fleet.run(absl::Milliseconds(440));
  double AtCut = Fleet.takeBytesPerSecond();
  MESSAGE("bytes a second and node: ", Before, " without peers, ", AtRest,
          " with peers, ", AtCut, " in the second of the cut; at the leader ",
          LeaderAtRest, " and ", Fleet.traffic(0).m_bytes);
  CHECK(AtRest < MaxBytesPerSecond);
  CHECK(AtCut < MaxBytesPerSecond);
}

// Guards against a failure domain without a peer: as relays prefer entry nodes
// of their own, all that such a relay hears are cut off together.
TEST_CASE("a failure domain with its own relay has peers in the others as it "
          "is cut off") {
  constexpr std::size_t Entries = 400;
  constexpr std::size_t Domains = 4;
  const FailureDomainId CutOff("d1");
  FeedFleet Fleet(Entries, 20, Domains);
  Fleet.placeCoordinators(Domains);
  Fleet.run(absl::Seconds(4));
  for (std::size_t At = 1; At < Entries; At += Domains)
    Fleet.cutOff(At);
  std::size_t Most = 0;
  for (int Step = 0; Step < 20; ++Step) {
    std::map<NodeId, std::size_t> Named;
    for (std::size_t At = 1; At < Entries; At += Domains) {
      std::size_t Sound = 0;
      for (const EntryPeer &Peer : Fleet.followers()[At].peers()) {
        Sound += Peer.m_failureDomain != CutOff ? 1 : 0;
        ++Named[Peer.m_node];
      }
      CHECK(Sound >= PeersOfNode - NearPeersOfNode);
      CHECK((Sound == PeersOfNode || Step < 6));
    }
    for (const auto &[Node, Count] : Named)
      Most = std::max(Most, Count);
    Fleet.run(absl::Milliseconds(100));
  }
  // On average 100 cut-off nodes name each of the 300 others twice.
  CHECK(Most <= 3 * PeersOfNode);
  // Each coordinator has told the others by now.
  for (const FeedFollower &Follower : Fleet.followers())
    for (const EntryPeer &Peer : Follower.peers())
      CHECK(Peer.m_failureDomain != CutOff);
}
