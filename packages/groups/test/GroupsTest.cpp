#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "turmericdyke/Feed"
#include "turmericdyke/Groups"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

ServerAnnouncement said(const char *Id, std::int64_t Born,
                        std::uint64_t Sequence, const char *Address = "a:1") {
  ServerAnnouncement Made;
  Made.m_id = TargetId(Id);
  Made.m_service = ServiceId("llm");
  Made.m_address = Address;
  Made.m_bornMillis = Born;
  Made.m_sequence = Sequence;
  return Made;
}

} // namespace

// Guards against a late announcement that brings back an earlier life or state.
TEST_CASE("the newer life wins, then the higher sequence") {
  ServerDirectory Directory;
  CHECK(Directory.announce(Start, said("i", 10, 5)) ==
        AnnouncementResult::Changed);
  CHECK(Directory.announce(Start, said("i", 10, 4)) ==
        AnnouncementResult::Stale);
  CHECK(Directory.announce(Start, said("i", 10, 6)) ==
        AnnouncementResult::Unchanged);
  CHECK(Directory.announce(Start, said("i", 20, 1)) ==
        AnnouncementResult::Changed);
  CHECK(Directory.announce(Start, said("i", 10, 7)) ==
        AnnouncementResult::Stale);
}

// Guards against requests to a server that said goodbye, brought back by an
// announcement that was under way.
TEST_CASE("a withdrawn life stays away, a new one does not") {
  ServerDirectory Directory;
  Directory.announce(Start, said("i", 10, 5));
  CHECK(Directory.withdraw(Start, TargetId("i")));
  CHECK(Directory.announce(Start, said("i", 10, 6)) ==
        AnnouncementResult::Stale);
  REQUIRE(Directory.find(TargetId("i")) != nullptr);
  CHECK(Directory.find(TargetId("i"))->m_said.m_draining);
  CHECK(Directory.announce(Start, said("i", 11, 1)) ==
        AnnouncementResult::Changed);
}

// Guards against streams that are cut because a member said goodbye before it
// ended: its group closes and finishes what it has.
TEST_CASE("a group with a withdrawn member closes, it is not dissolved") {
  Catalog Routes;
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  EngineModel Model;
  Model.m_name = "m";
  Model.m_members = 2;
  Service.m_engine->m_models.push_back(Model);
  Routes.m_services.push_back(Service);
  ServerDirectory Directory;
  for (int Rank = 0; Rank < 2; ++Rank) {
    ServerAnnouncement Member =
        said(Rank == 0 ? "head" : "tail", 1, 1, Rank == 0 ? "a:1" : "b:1");
    Member.m_model = "m";
    Member.m_group = GroupMembership{
        "g", 7, Rank, Rank == 0 ? MemberState::Open : MemberState::Ready};
    Directory.announce(Start, Member);
  }
  GroupPlanner Planner;
  Planner.lead(1);
  GroupPlannerInput Input;
  Input.m_servers = &Directory;
  Input.m_catalog = &Routes;
  Planner.step(Start, Input);
  REQUIRE(Planner.groups().at(7).m_phase == GroupPhase::Serving);
  Directory.withdraw(Start, TargetId("head"));
  std::vector<GroupOrder> Orders =
      Planner.step(Start + absl::Milliseconds(50), Input);
  CHECK(Planner.groups().at(7).m_phase == GroupPhase::Closing);
  for (const GroupOrder &Order : Orders)
    CHECK(Order.m_kind != GroupOrderKind::Leave);
}

// Guards against two servers at one address, of which the older has ended.
TEST_CASE("an address belongs to the server that was born last") {
  ServerDirectory Directory;
  Directory.announce(Start, said("old", 10, 5));
  Directory.announce(Start, said("new", 20, 1));
  CHECK(Directory.find(TargetId("old")) == nullptr);
  CHECK(Directory.announce(Start, said("old", 10, 6)) ==
        AnnouncementResult::Stale);
}

// Guards against a successor that misses a server, or keeps one that ended,
// because an update was lost: it must say so and get the changes again.
TEST_CASE("a copy of the directory reaches the original over a lossy link") {
  CHECK(rc::check("copies", [](const std::vector<std::uint8_t> &Steps) {
    ServerDirectory Directory;
    DirectoryCopy Copy;
    std::uint64_t Told = 0;
    std::uint64_t Sequence = 0;
    Instant Now = Start;
    auto Send = [&](bool Arrives) {
      DirectoryUpdate Update = Directory.changesSince(Told);
      Update.m_term = 1;
      Told = Update.m_sequence;
      Result<DirectoryUpdate, FleetError> Read =
          parseDirectoryUpdate(toJson(Update));
      RC_ASSERT(Read.has_value());
      if (Arrives)
        Copy.receive(Read.value());
    };
    for (std::uint8_t Step : Steps) {
      Now += absl::Milliseconds(Step);
      std::string Id = std::string("i") + std::to_string(Step % 5);
      std::string Address = std::string("a:") + std::to_string(Step % 7);
      if (Step % 11 == 0)
        Directory.expire(Now, absl::Milliseconds(300));
      else if (Step % 13 == 0)
        Directory.withdraw(Now, TargetId(Id));
      else
        Directory.announce(
            Now, said(Id.c_str(), Step / 64, ++Sequence, Address.c_str()));
      if (Step % 3 > 0)
        Send(Step % 3 == 1);
      if (Step % 17 == 0)
        Told = Copy.term() == 1 ? Copy.sequence() : 0;
    }
    Told = Copy.term() == 1 ? Copy.sequence() : 0;
    Send(true);
    std::vector<ServerCopy> Held = Copy.servers();
    RC_ASSERT(Held.size() == Directory.all().size());
    for (const ServerCopy &Server : Held) {
      const ServerRecord *Known = Directory.find(Server.m_said.m_id);
      RC_ASSERT(Known != nullptr);
      RC_ASSERT(Known->m_said.m_bornMillis == Server.m_said.m_bornMillis);
      RC_ASSERT(Known->m_said.m_address == Server.m_said.m_address);
      RC_ASSERT(Known->m_said.m_draining == Server.m_said.m_draining);
    }
  }));
}

// Guards against a report, which lags, that undoes what the server announced
// after the question was sent.
TEST_CASE("what was announced after the question goes before its answer") {
  ServerDirectory Directory;
  ServerAnnouncement Free = said("i", 1, 1);
  Directory.inherit(Start, std::vector<ServerCopy>{{Free, "m"}});
  CHECK(Directory.unconfirmed(Start, absl::Seconds(3)).size() == 1);
  ServerAnnouncement Joined = said("i", 1, 2);
  Joined.m_group = GroupMembership{"g", 7, 0, MemberState::Open};
  Directory.announce(Start + absl::Milliseconds(5), Joined);
  Directory.reported(Start, Start + absl::Milliseconds(10), TargetId("i"),
                     {1, {}, "", std::nullopt});
  REQUIRE(Directory.find(TargetId("i"))->m_said.m_group.has_value());
  CHECK(Directory.unconfirmed(Start, absl::Seconds(3)).empty());
}

// Guards against a group that is given up because a report, which lags, is
// older than the announcement of the member that it speaks of.
TEST_CASE("a report does not undo what was announced shortly before it") {
  ServerDirectory Directory;
  ServerAnnouncement Joined = said("i", 1, 2);
  Joined.m_group = GroupMembership{"g", 7, 1, MemberState::Ready};
  Directory.announce(Start, Joined);
  Instant Asked = Start + absl::Milliseconds(300);
  ServerReport Older{1, {}, "", std::nullopt};
  Directory.reported(Asked, Asked, TargetId("i"), Older);
  CHECK(Directory.find(TargetId("i"))->m_said.m_group.has_value());
  Asked += absl::Seconds(2);
  Directory.reported(Asked, Asked, TargetId("i"), Older);
  CHECK_FALSE(Directory.find(TargetId("i"))->m_said.m_group.has_value());
}

// Guards against a new life under an old identifier that is taken for the
// server that was inherited.
TEST_CASE("a report of another life confirms nothing") {
  ServerDirectory Directory;
  Directory.inherit(Start, std::vector<ServerCopy>{{said("i", 1, 1), "m"}});
  Directory.reported(Start, Start, TargetId("i"), {2, {}, "", std::nullopt});
  CHECK(Directory.unconfirmed(Start, absl::Seconds(3)).size() == 1);
}

TEST_CASE("servers that are silent for long are forgotten") {
  ServerDirectory Directory;
  Directory.announce(Start, said("a", 1, 1, "a:1"));
  Directory.announce(Start + absl::Seconds(5), said("b", 1, 1, "b:1"));
  auto Gone = Directory.expire(Start + absl::Seconds(6), absl::Seconds(3));
  CHECK(Gone == std::vector<TargetId>{TargetId("a")});
}

// Guards against one lost packet that takes a server for dead, and against
// seconds of waiting for one whose host answers that nobody is there.
TEST_CASE(
    "two unanswered questions or a refused one show that a server is gone") {
  ServerDirectory Directory;
  TargetId Id("i");
  constexpr absl::Duration Silence = absl::Seconds(3);
  Directory.announce(Start, said("i", 1, 1));
  Directory.unanswered(Id, false);
  CHECK_FALSE(Directory.find(Id)->isLost(Start, Silence));
  Directory.unanswered(Id, false);
  CHECK(Directory.find(Id)->isLost(Start, Silence));
  Directory.announce(Start, said("i", 1, 2));
  CHECK_FALSE(Directory.find(Id)->isLost(Start, Silence));
  Directory.unanswered(Id, true);
  CHECK(Directory.find(Id)->isLost(Start, Silence));
  Instant Later = Start + absl::Seconds(5);
  Directory.answered(Later, Id);
  CHECK_FALSE(Directory.find(Id)->isLost(Later, Silence));
}

// Guards against more loads in a window than the weight store allows: its rate
// with a tenth on top, and three.
TEST_CASE("loads in any window stay within the store's allowance") {
  CHECK(rc::check("pacing", [](const std::vector<std::uint8_t> &Steps) {
    constexpr double Rate = 5;
    constexpr double Window = 5;
    LoadPacer Pacer;
    Pacer.setRate(Rate);
    Instant Now = Start;
    std::vector<std::pair<Instant, double>> Begun;
    for (std::uint8_t Step : Steps) {
      Now += absl::Milliseconds(Step);
      double Count = 1 + Step % 3;
      if (Pacer.tryTake(Now, Count))
        Begun.emplace_back(Now, Count);
      double Sum = 0;
      for (const auto &[When, Loads] : Begun)
        Sum += Now - When <= absl::Seconds(Window) ? Loads : 0;
      RC_ASSERT(Sum <= Rate * Window * 1.1 + 3);
    }
  }));
}
