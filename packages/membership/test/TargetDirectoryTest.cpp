#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fmt/format.h>

#include "turmericdyke/Membership"

using namespace turmericdyke;

namespace {

constexpr std::size_t Nodes = 3;

TargetAnnouncement announcement(const std::string &Target,
                                std::uint64_t Incarnation,
                                std::uint64_t Sequence) {
  TargetAnnouncement Made;
  Made.m_target = TargetId(Target);
  Made.m_incarnation = Incarnation;
  Made.m_sequence = Sequence;
  Made.m_host = HostId("host-" + Target);
  Made.m_address = "10.0.0.1:1";
  Made.m_state = TargetState::Ready;
  return Made;
}

/// Directories of three nodes, each with its own clock, and the digests that
/// are under way between them.
struct Cluster {
  Cluster() {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      restart(Index);
  }
  void restart(std::size_t Index) {
    TargetDirectoryOptions Options;
    Options.m_node = nodeId(Index);
    Options.m_incarnation = ++m_starts[Index];
    m_directories[Index] =
        std::make_unique<TargetDirectory>(Options, clock(Index));
    std::vector<NodeId> All;
    for (std::size_t Each = 0; Each < Nodes; ++Each)
      All.push_back(nodeId(Each));
    m_directories[Index]->setPeers(All);
  }
  static NodeId nodeId(std::size_t Index) {
    return NodeId(fmt::format("{}", Index));
  }
  Instant clock(std::size_t Index) const {
    return m_now + absl::Hours(3 * Index);
  }
  void collect() {
    for (auto &Directory : m_directories)
      for (OutgoingDigest &Send : Directory->takeDigests())
        m_underWay.push_back(std::move(Send));
  }
  void deliver(std::size_t Which) {
    const OutgoingDigest &Send = m_underWay[Which];
    std::size_t To = std::stoul(Send.m_to.str());
    m_directories[To]->receive(clock(To), Send.m_digest);
    collect();
  }
  void deliverAll() {
    collect();
    while (!m_underWay.empty()) {
      OutgoingDigest First = m_underWay.front();
      m_underWay.erase(m_underWay.begin());
      std::size_t To = std::stoul(First.m_to.str());
      m_directories[To]->receive(clock(To), First.m_digest);
      collect();
    }
  }
  /// Advances by `For` with ticks, delivering everything.
  void run(absl::Duration For) {
    for (Instant End = m_now + For; m_now < End;) {
      m_now += absl::Milliseconds(100);
      tick();
      deliverAll();
    }
  }
  void tick() {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      m_directories[Index]->tick(clock(Index));
    collect();
  }
  AnnounceOutcome announce(std::size_t Index, const TargetAnnouncement &A) {
    AnnounceOutcome Outcome = m_directories[Index]->announce(clock(Index), A);
    collect();
    return Outcome;
  }
  std::optional<TargetDirectoryEntry> find(std::size_t Index,
                                           const char *Target) {
    return m_directories[Index]->find(clock(Index), TargetId(Target));
  }

  Instant m_now = absl::UnixEpoch() + absl::Hours(1);
  std::uint64_t m_starts[Nodes] = {};
  std::unique_ptr<TargetDirectory> m_directories[Nodes];
  std::vector<OutgoingDigest> m_underWay;
};

} // namespace

TEST_CASE("a target announced to one node is fresh at all, and at none 2.5 s "
          "after it fell silent") {
  Cluster Three;
  Three.run(absl::Seconds(1));
  for (std::uint64_t Sequence = 1; Sequence <= 4; ++Sequence) {
    Three.announce(0, announcement("t", 1, Sequence));
    Three.run(absl::Milliseconds(500));
  }
  for (std::size_t Index = 0; Index < Nodes; ++Index) {
    REQUIRE(Three.find(Index, "t").has_value());
    CHECK(Three.find(Index, "t")->m_fresh);
    CHECK(Three.find(Index, "t")->m_reportingNode == NodeId("0"));
  }
  Three.run(absl::Milliseconds(2100));
  for (std::size_t Index = 0; Index < Nodes; ++Index)
    CHECK_FALSE(Three.find(Index, "t")->m_fresh);
}

TEST_CASE("late, duplicated and foreign announcements are ignored and "
          "counted") {
  Cluster Three;
  CHECK(Three.announce(0, announcement("t", 2, 5)) ==
        AnnounceOutcome::Accepted);
  CHECK(Three.announce(0, announcement("t", 2, 5)) == AnnounceOutcome::Late);
  CHECK(Three.announce(0, announcement("t", 1, 9)) == AnnounceOutcome::Late);
  TargetAnnouncement Foreign = announcement("t", 2, 6);
  Foreign.m_host = HostId("other");
  CHECK(Three.announce(0, Foreign) == AnnounceOutcome::IdentityConflict);
  TargetAnnouncement Redirected = announcement("t", 2, 6);
  Redirected.m_address = "10.6.6.6:1";
  CHECK(Three.announce(0, Redirected) == AnnounceOutcome::IdentityConflict);
  CHECK(Three.find(0, "t")->m_announcement->m_host == HostId("host-t"));
  Foreign.m_incarnation = 3;
  CHECK(Three.announce(0, Foreign) == AnnounceOutcome::Accepted);
  const TargetDirectoryCounts &Counts = Three.m_directories[0]->counts();
  CHECK(Counts.m_late == 2);
  CHECK(Counts.m_identityConflicts == 2);
  CHECK(Counts.m_moved == 1);
}

TEST_CASE("a target that changes its node is vouched for by the new one, also "
          "when it returns") {
  Cluster Three;
  Three.run(absl::Seconds(1));
  std::uint64_t Sequence = 0;
  for (std::size_t Voucher : {0u, 1u, 0u, 2u}) {
    for (int Count = 0; Count < 4; ++Count) {
      Three.announce(Voucher, announcement("t", 1, ++Sequence));
      Three.run(absl::Milliseconds(500));
    }
    for (std::size_t Index = 0; Index < Nodes; ++Index) {
      CHECK(Three.find(Index, "t")->m_reportingNode ==
            Cluster::nodeId(Voucher));
      CHECK(Three.find(Index, "t")->m_fresh);
    }
  }
}

TEST_CASE("a leaving target is forwarded at once, and its load at most once a "
          "second") {
  Cluster Three;
  Three.run(absl::Seconds(1));
  Three.announce(0, announcement("t", 1, 1));
  Three.deliverAll();
  int Entries = 0, Loads = 0;
  for (std::uint64_t Sequence = 2; Sequence < 22; ++Sequence) {
    TargetAnnouncement Loaded = announcement("t", 1, Sequence);
    Loaded.m_load.m_running = static_cast<std::int64_t>(Sequence);
    Three.announce(0, Loaded);
    Three.m_now += absl::Milliseconds(500);
    Three.tick();
    for (const OutgoingDigest &Send : Three.m_underWay)
      if (Send.m_to == NodeId("1")) {
        Entries += static_cast<int>(Send.m_digest.m_entries.size());
        Loads += static_cast<int>(Send.m_digest.m_loads.size());
      }
    Three.deliverAll();
  }
  CHECK(Entries == 0);
  CHECK(Loads <= 11);
  CHECK(Loads >= 9);
  CHECK(Three.find(1, "t")->m_announcement->m_load.m_running >= 20);
  TargetAnnouncement Leaving = announcement("t", 1, 22);
  Leaving.m_state = TargetState::Leaving;
  Three.announce(0, Leaving);
  Three.deliverAll();
  CHECK(Three.find(2, "t")->m_announcement->m_state == TargetState::Leaving);
}

TEST_CASE("a lost digest of changes is noticed and made up for, and ages alone "
          "do not keep the old state fresh") {
  Cluster Three;
  Three.run(absl::Seconds(1));
  Three.announce(0, announcement("t", 1, 1));
  Three.run(absl::Seconds(1));
  TargetAnnouncement Draining = announcement("t", 1, 2);
  Draining.m_state = TargetState::Draining;
  Three.announce(0, Draining);
  Three.m_underWay.clear();
  CHECK(Three.find(1, "t")->m_announcement->m_state == TargetState::Ready);
  Three.run(absl::Seconds(1));
  CHECK(Three.find(1, "t")->m_announcement->m_state == TargetState::Draining);
  CHECK(Three.m_directories[1]->counts().m_gaps == 1);
}

TEST_CASE("more targets than the bounds allow are refused and counted") {
  TargetDirectoryOptions Options;
  Options.m_node = NodeId("n");
  Options.m_maxLocalTargets = 2;
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  TargetDirectory Directory(Options, Now);
  for (const char *Target : {"a", "b"})
    CHECK(Directory.announce(Now, announcement(Target, 1, 1)) ==
          AnnounceOutcome::Accepted);
  CHECK(Directory.announce(Now, announcement("c", 1, 1)) ==
        AnnounceOutcome::TooMany);
  CHECK(Directory.snapshot(Now).size() == 2);
  Directory.tick(Now + absl::Seconds(61));
  CHECK(Directory.announce(Now + absl::Seconds(61), announcement("c", 1, 1)) ==
        AnnounceOutcome::Accepted);
}

TEST_CASE("whatever digests are lost, late, duplicated or reordered, no target "
          "is fresh for longer than its last announcement allows, and none "
          "that leaves is ready after 3 s") {
  CHECK(rc::check([] {
    Cluster Three;
    const char *Targets[] = {"t", "u"};
    std::uint64_t Incarnation[2] = {1, 1}, Sequence[2] = {};
    Instant Heard[2] = {absl::InfinitePast(), absl::InfinitePast()};
    Instant Left[2] = {absl::InfiniteFuture(), absl::InfiniteFuture()};
    int Steps = *rc::gen::inRange(20, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      std::size_t Node = *rc::gen::inRange<std::size_t>(0, Nodes);
      std::size_t Target = *rc::gen::inRange<std::size_t>(0, 2);
      std::size_t Waiting = Three.m_underWay.size();
      std::size_t Which =
          Waiting == 0 ? 0 : *rc::gen::inRange<std::size_t>(0, Waiting);
      switch (*rc::gen::inRange(0, 12)) {
      case 0:
        if (*rc::gen::inRange(0, 4) == 0 && Left[Target] > Three.m_now)
          Left[Target] = Three.m_now;
        break;
      case 1:
        if (*rc::gen::inRange(0, 4) == 0) {
          ++Incarnation[Target];
          Sequence[Target] = 0;
          Left[Target] = absl::InfiniteFuture();
        }
        break;
      case 2:
        if (*rc::gen::inRange(0, 4) == 0)
          Three.restart(Node);
        break;
      case 3:
      case 4:
      case 5: {
        TargetAnnouncement Made = announcement(
            Targets[Target], Incarnation[Target], ++Sequence[Target]);
        if (Left[Target] <= Three.m_now)
          Made.m_state = TargetState::Leaving;
        Three.announce(Node, Made);
        Heard[Target] = Three.m_now;
        break;
      }
      case 6:
      case 7:
        if (Waiting != 0)
          Three.deliver(Which);
        break;
      case 8:
        if (Waiting != 0)
          Three.m_underWay.erase(Three.m_underWay.begin() +
                                 static_cast<std::ptrdiff_t>(Which));
        break;
      case 9:
        Three.deliverAll();
        break;
      default:
        Three.m_now += absl::Milliseconds(*rc::gen::inRange(0, 1500));
        Three.tick();
      }
      for (std::size_t By = 0; By < Nodes; ++By)
        for (std::size_t Of = 0; Of < 2; ++Of) {
          std::optional<TargetDirectoryEntry> View =
              Three.find(By, Targets[Of]);
          if (!View)
            continue;
          RC_ASSERT(View->m_age >= Three.m_now - Heard[Of]);
          RC_ASSERT(!View->m_fresh ||
                    Three.m_now - Heard[Of] <= absl::Milliseconds(2500));
          bool Ready = View->m_fresh &&
                       View->m_announcement->m_state == TargetState::Ready &&
                       View->m_announcement->m_incarnation == Incarnation[Of];
          RC_ASSERT(!Ready || Three.m_now - Left[Of] <= absl::Seconds(3));
        }
    }
  }));
}
