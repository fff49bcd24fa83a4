#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "turmericdyke/Consensus"

using namespace turmericdyke;

namespace {

Voter voter(const std::string &Name) { return {NodeId(Name), "id-" + Name}; }

const VoterSet Abc{{voter("a"), voter("b"), voter("c")}};

/// Node `a` of the voters a, b and c, driven message by message.
struct Single {
  RaftOptions m_options;
  std::mt19937_64 m_random{1};
  Instant m_now = absl::UnixEpoch();
  std::optional<Raft> m_raft;
  PersistentState m_disk;

  explicit Single(const VoterSet &Voters = Abc) {
    m_options.m_node = NodeId("a");
    m_disk = bootstrapState("id-a", Voters);
    restart();
  }
  void restart() { m_raft.emplace(m_options, m_disk, m_now, m_random); }
  void pass(absl::Duration Time) {
    m_now += Time;
    m_raft->tick(m_now, m_random);
  }
  RaftActions take() {
    RaftActions Actions = m_raft->takeActions();
    if (Actions.m_hardState)
      m_disk.m_hardState = *Actions.m_hardState;
    return Actions;
  }
  RaftMessage message(RaftMessageKind Kind, const std::string &From,
                      Term At) const {
    RaftMessage Message;
    Message.m_kind = Kind;
    Message.m_from = NodeId(From);
    Message.m_fromIdentity = "id-" + From;
    Message.m_to = NodeId("a");
    Message.m_term = At;
    return Message;
  }
  RaftActions step(const RaftMessage &Message) {
    m_raft->step(m_now, Message, m_random);
    return take();
  }
  RaftMessage heartbeat(Term At) const {
    RaftMessage Request = message(RaftMessageKind::AppendRequest, "b", At);
    Request.m_index = 1;
    Request.m_logTerm = 1;
    return Request;
  }
  RaftMessage voteRequest(RaftMessageKind Kind, Term At) const {
    RaftMessage Request = message(Kind, "c", At);
    Request.m_index = 100;
    Request.m_logTerm = At - 1;
    return Request;
  }
  /// The response to `Request` from its receiver, whose log ends at `Last`.
  RaftMessage answer(const RaftMessage &Request, bool Accepted,
                     LogIndex Last) const {
    RaftMessageKind Kind = Request.m_kind == RaftMessageKind::PreVoteRequest
                               ? RaftMessageKind::PreVoteResponse
                           : Request.m_kind == RaftMessageKind::VoteRequest
                               ? RaftMessageKind::VoteResponse
                               : RaftMessageKind::AppendResponse;
    RaftMessage Response = message(Kind, Request.m_to.str(), Request.m_term);
    Response.m_sequence = Request.m_sequence;
    Response.m_accepted = Accepted;
    Response.m_index = Accepted ? Last : Request.m_index;
    Response.m_conflictIndex = Last + 1;
    Response.m_lastIndex = Last;
    return Response;
  }
  /// Lets `b` accept every message sent to it until no more are sent.
  RaftActions serve(RaftActions Actions) {
    RaftActions All;
    while (!Actions.m_messages.empty()) {
      RaftActions Next;
      for (const RaftMessage &Sent : Actions.m_messages)
        if (Sent.m_to == NodeId("b"))
          m_raft->step(m_now,
                       answer(Sent, true, Sent.m_index + Sent.m_entries.size()),
                       m_random);
      for (RaftEvent &Event : Actions.m_events)
        All.m_events.push_back(std::move(Event));
      Actions = take();
    }
    return All;
  }
  /// Makes this node the leader, with `b` up to date.
  void lead() {
    while (!m_raft->isLeader()) {
      pass(absl::Milliseconds(50));
      serve(take());
    }
    serve(take());
    REQUIRE(m_raft->holdsLeaderLease(m_now));
  }
  /// Sends a round of heartbeats and returns the one to `To`.
  RaftMessage round(const std::string &To = "b") {
    pass(m_options.m_heartbeatInterval);
    for (RaftMessage &Sent : take().m_messages)
      if (Sent.m_to == NodeId(To))
        return std::move(Sent);
    FAIL("no heartbeat");
    return {};
  }
};

bool reports(const RaftActions &Actions, RaftEventKind Kind) {
  return std::any_of(Actions.m_events.begin(), Actions.m_events.end(),
                     [Kind](const RaftEvent &E) { return E.m_kind == Kind; });
}

ConsensusErrorKind errorKind(const Result<LogIndex, ConsensusError> &Outcome) {
  REQUIRE(Outcome.has_error());
  return Outcome.error().m_kind;
}

} // namespace

TEST_CASE("a single voter commits in the batch that persists the entry") {
  Single Node(VoterSet{{voter("a")}});
  Node.pass(absl::Seconds(2));
  REQUIRE(Node.m_raft->holdsLeaderLease(Node.m_now));
  (void)Node.take();
  REQUIRE(Node.m_raft->propose(Node.m_now, "x").has_value());
  RaftActions Actions = Node.take();
  REQUIRE(Actions.m_entries.size() == 1);
  CHECK(Actions.m_committed == Actions.m_entries);
  CHECK(Actions.m_messages.empty());
}

TEST_CASE("votes and pre-votes are rejected within 1 s of leader contact, "
          "except in a leadership transfer") {
  for (RaftMessageKind Kind :
       {RaftMessageKind::PreVoteRequest, RaftMessageKind::VoteRequest}) {
    Single Node;
    Node.m_now += absl::Seconds(10);
    Node.step(Node.heartbeat(5));
    Node.m_now += absl::Milliseconds(999);
    CHECK(Node.step(Node.voteRequest(Kind, 6)).empty());
    CHECK(Node.m_raft->term() == 5);
    Node.m_now += absl::Milliseconds(1);
    RaftActions Granted = Node.step(Node.voteRequest(Kind, 6));
    REQUIRE(Granted.m_messages.size() == 1);
    CHECK(Granted.m_messages[0].m_accepted);
  }
  Single Node;
  Node.step(Node.heartbeat(5));
  RaftMessage Transfer = Node.voteRequest(RaftMessageKind::VoteRequest, 6);
  Transfer.m_transfer = true;
  CHECK(Node.step(Transfer).m_messages.at(0).m_accepted);
}

TEST_CASE("a restarted voter grants no vote for 1 s, and keeps its vote") {
  Single Node;
  Node.m_now += absl::Seconds(1);
  RaftMessage Request = Node.voteRequest(RaftMessageKind::VoteRequest, 6);
  CHECK(Node.step(Request).m_messages.at(0).m_accepted);
  Node.restart();
  Node.m_now += absl::Milliseconds(999);
  CHECK(Node.step(Request).empty());
  Node.m_now += absl::Milliseconds(1);
  CHECK(Node.step(Request).m_messages.at(0).m_accepted);
  Request.m_from = NodeId("b");
  CHECK_FALSE(Node.step(Request).m_messages.at(0).m_accepted);
}

TEST_CASE("an isolated node does not increase its term") {
  Single Node;
  for (int Second = 0; Second < 20; ++Second)
    Node.pass(absl::Seconds(1));
  CHECK(Node.m_raft->role() == RaftRole::PreCandidate);
  CHECK(Node.m_raft->term() == 1);
}

TEST_CASE("a lease lasts 800 ms from the send time of the round, and a leader "
          "without a majority steps down after 1 s") {
  Single Node;
  Node.lead();
  RaftMessage Beat = Node.round();
  Instant Sent = Node.m_now;
  Node.m_now += absl::Milliseconds(300);
  Node.step(Node.answer(Beat, true, Beat.m_index));
  CHECK(Node.m_raft->holdsLeaderLease(Sent + absl::Milliseconds(799)));
  CHECK_FALSE(Node.m_raft->holdsLeaderLease(Sent + absl::Milliseconds(800)));
  Node.m_now = Sent + absl::Milliseconds(800);
  CHECK(errorKind(Node.m_raft->propose(Node.m_now, "x")) ==
        ConsensusErrorKind::NoLease);
  Node.pass(absl::Milliseconds(199));
  CHECK(Node.m_raft->isLeader());
  Node.pass(absl::Milliseconds(1));
  CHECK_FALSE(Node.m_raft->isLeader());
  CHECK(reports(Node.take(), RaftEventKind::LeadershipLost));
}

TEST_CASE("append messages stay within both limits, and a follower that does "
          "not respond gets no more than the in-flight window") {
  Single Node;
  Node.m_options.m_maxEntriesPerMessage = 3;
  Node.m_options.m_maxBytesPerMessage = 1000;
  Node.m_options.m_maxCommandBytes = 2000;
  Node.restart();
  Node.lead();
  for (std::size_t Bytes : {1, 1, 1, 1, 600, 600, 1500, 1, 1, 1, 1, 1})
    REQUIRE(
        Node.m_raft->propose(Node.m_now, std::string(Bytes, 'x')).has_value());
  CHECK(errorKind(Node.m_raft->propose(Node.m_now, std::string(2001, 'x'))) ==
        ConsensusErrorKind::TooLarge);
  std::vector<std::size_t> Counts;
  for (const RaftMessage &Sent : Node.take().m_messages)
    if (Sent.m_to == NodeId("b"))
      Counts.push_back(Sent.m_entries.size());
  CHECK(Counts == std::vector<std::size_t>{3, 2, 1, 1});
}

TEST_CASE("a leader skips a whole conflicting term in one round trip") {
  Single Node;
  for (LogIndex Index = 2; Index <= 50; ++Index)
    Node.m_disk.m_entries.push_back({Index, 3, EntryKind::Command, "x", {}});
  Node.m_disk.m_hardState.m_term = 3;
  Node.restart();
  RaftMessage Request = Node.heartbeat(4);
  Request.m_index = 40;
  Request.m_logTerm = 4;
  RaftMessage Refused = Node.step(Request).m_messages.at(0);
  CHECK(Refused.m_conflictIndex == 2);
  CHECK(Refused.m_conflictTerm == 3);
  Node.lead();
  RaftMessage Response = Node.answer(Node.round("c"), false, 60);
  Response.m_conflictIndex = 10;
  Response.m_conflictTerm = 2;
  RaftActions Next = Node.step(Response);
  CHECK(Next.m_messages.at(0).m_index == 1);
}

TEST_CASE("during a transfer the leader has no lease and rejects proposals; it "
          "stays leader only if no TimeoutNow was sent") {
  Single Node;
  Node.lead();
  REQUIRE(Node.m_raft->propose(Node.m_now, "x").has_value());
  (void)Node.take();
  REQUIRE(Node.m_raft->transferLeadership(Node.m_now, NodeId("b")).has_value());
  CHECK_FALSE(Node.m_raft->holdsLeaderLease(Node.m_now));
  CHECK(errorKind(Node.m_raft->propose(Node.m_now, "y")) ==
        ConsensusErrorKind::TransferInProgress);
  for (int Round = 0; Round < 9; ++Round) {
    RaftMessage Beat = Node.round();
    CHECK(Beat.m_kind == RaftMessageKind::AppendRequest);
    Node.step(Node.answer(Beat, false, 2));
  }
  Node.pass(absl::Milliseconds(100));
  RaftActions Actions = Node.take();
  CHECK(reports(Actions, RaftEventKind::TransferFailed));
  CHECK(Node.m_raft->isLeader());
  Node.serve(std::move(Actions));
  REQUIRE(Node.m_raft->transferLeadership(Node.m_now, NodeId("b")).has_value());
  CHECK(Node.take().m_messages.at(0).m_kind == RaftMessageKind::TimeoutNow);
  Node.pass(absl::Seconds(1));
  CHECK_FALSE(Node.m_raft->isLeader());
}

TEST_CASE("after a storage failure a node neither votes nor leads nor "
          "responds, and drops the entries it could not write") {
  Single Node;
  Node.lead();
  REQUIRE(Node.m_raft->propose(Node.m_now, "x").has_value());
  Node.m_raft->storageFailed();
  RaftActions Actions = Node.take();
  CHECK(reports(Actions, RaftEventKind::LeadershipLost));
  CHECK((Actions.m_messages.empty() && !Actions.needsSync()));
  CHECK(errorKind(Node.m_raft->propose(Node.m_now, "y")) ==
        ConsensusErrorKind::StorageFailed);
  Node.pass(absl::Seconds(10));
  CHECK(Node.step(Node.heartbeat(9)).empty());
  CHECK(Node.step(Node.voteRequest(RaftMessageKind::VoteRequest, 10)).empty());
}

TEST_CASE("a voter whose log was rolled back is reported, notified and no "
          "longer counted; a delayed response is not taken for a rollback") {
  Single Node;
  Node.lead();
  RaftMessage Early = Node.round();
  REQUIRE(Node.m_raft->propose(Node.m_now, "x").has_value());
  Node.serve(Node.take());
  LogIndex Last = Node.m_raft->lastIndex();
  CHECK_FALSE(reports(Node.step(Node.answer(Early, true, Last - 1)),
                      RaftEventKind::VoterRolledBack));
  RaftMessage Beat = Node.round();
  RaftActions Actions = Node.step(Node.answer(Beat, false, Last - 1));
  CHECK(reports(Actions, RaftEventKind::VoterRolledBack));
  CHECK_FALSE(Node.m_raft->peers().at(0).m_countsForQuorum);
  CHECK(Actions.m_messages.at(0).m_revokedIdentity == "id-b");
  (void)Node.m_raft->propose(Node.m_now, "y");
  Node.serve(Node.take());
  CHECK(Node.m_raft->commitIndex() == Last);
}

TEST_CASE("the revocation of an identity is durable, and the node grants no "
          "vote") {
  Single Node;
  RaftMessage Beat = Node.heartbeat(5);
  Beat.m_revokedIdentity = "id-a";
  CHECK(reports(Node.step(Beat), RaftEventKind::IdentityRevoked));
  Node.restart();
  Node.m_now += absl::Seconds(10);
  CHECK(Node.step(Node.voteRequest(RaftMessageKind::VoteRequest, 6)).empty());
  CHECK_FALSE(Node.m_raft->isVoter());
}

TEST_CASE("voters change one at a time, and an added voter must have caught up "
          "with the same identity") {
  Single Node;
  Node.lead();
  auto Change = [&](const VoterSet &Voters) {
    return Node.m_raft->changeVoters(Node.m_now, Voters);
  };
  CHECK(errorKind(Change(Abc)) == ConsensusErrorKind::InvalidVoterSet);
  VoterSet Replaced{{voter("a"), voter("b"), {NodeId("c"), "new"}}};
  CHECK(errorKind(Change(Replaced)) == ConsensusErrorKind::InvalidVoterSet);
  VoterSet Added = Abc;
  Added.m_voters.push_back(voter("d"));
  CHECK(errorKind(Change(Added)) == ConsensusErrorKind::NotCaughtUp);
  VoterSet Without = nextVoterSet(Abc, Replaced, Replaced.m_voters);
  CHECK(Without == VoterSet{{voter("a"), voter("b")}});
  CHECK(nextVoterSet(Without, Replaced, Replaced.m_voters) == Replaced);
  REQUIRE(Change(Without).has_value());
  CHECK(errorKind(Change(Abc)) == ConsensusErrorKind::ChangeInProgress);
  RaftActions Actions = Node.serve(Node.take());
  CHECK(Node.m_raft->commitIndex() == Node.m_raft->lastIndex());
  REQUIRE(reports(Actions, RaftEventKind::VotersCommitted));
  CHECK(Actions.m_events.back().m_voters == Without);
}

TEST_CASE("no step of a replacement lowers the number of voters that may be "
          "lost: a lost voter leaves first, a live one last") {
  VoterSet Five{{voter("a"), voter("b"), voter("c"), voter("d"), voter("e")}};
  VoterSet Goal{{voter("a"), voter("b"), voter("c"), voter("d"), voter("f")}};
  VoterSet Four{{voter("a"), voter("b"), voter("c"), voter("d")}};
  CHECK(nextVoterSet(Five, Goal, Goal.m_voters) == Four);
  std::vector<Voter> All = Five.m_voters;
  All.push_back(voter("f"));
  VoterSet Six = nextVoterSet(Five, Goal, All);
  CHECK(Six.m_voters == All);
  CHECK(nextVoterSet(Six, Goal, All) == Goal);
  CHECK(nextVoterSet(Goal, Goal, All) == Goal);
}

TEST_CASE("a leader that loses its majority while removing itself becomes a "
          "candidate again, as only it may have the latest entries") {
  Single Node;
  VoterSet Without{{voter("b"), voter("c")}};
  Node.m_disk.m_entries.push_back({2, 1, EntryKind::Voters, "", Without});
  Node.restart();
  Node.pass(absl::Seconds(2));
  std::vector<RaftMessage> Asked = Node.take().m_messages;
  REQUIRE(Asked.size() == 2);
  Node.step(Node.answer(Asked[0], true, 0));
  CHECK(Node.m_raft->role() == RaftRole::PreCandidate);
  Node.step(Node.answer(Asked[1], true, 0));
  CHECK(Node.m_raft->role() == RaftRole::Candidate);
}

TEST_CASE("a voter set takes effect when appended and is reverted when a new "
          "leader replaces its entry") {
  Single Node;
  RaftMessage Beat = Node.heartbeat(5);
  VoterSet Without{{voter("a"), voter("b")}};
  Beat.m_entries = {{2, 5, EntryKind::Voters, "", Without},
                    {3, 5, EntryKind::Command, "x", {}}};
  Node.step(Beat);
  CHECK(Node.m_raft->voters() == Without);
  Beat.m_term = 6;
  Beat.m_entries = {{2, 6, EntryKind::NoOp, "", {}}};
  RaftActions Actions = Node.step(Beat);
  CHECK(Actions.m_entries == Beat.m_entries);
  CHECK(Node.m_raft->voters() == Abc);
  CHECK(Node.m_raft->lastIndex() == 2);
}

TEST_CASE("messages to another node, of an unknown kind or with gaps are "
          "ignored") {
  Single Node;
  RaftMessage Beat = Node.heartbeat(5);
  Beat.m_to = NodeId("b");
  CHECK(Node.step(Beat).empty());
  Beat = Node.heartbeat(5);
  Beat.m_kind = static_cast<RaftMessageKind>(99);
  CHECK(Node.step(Beat).empty());
  Beat = Node.heartbeat(5);
  Beat.m_entries.push_back({7, 5, EntryKind::Command, "x", {}});
  CHECK(Node.step(Beat).m_entries.empty());
  CHECK(Node.m_raft->lastIndex() == 1);
}
