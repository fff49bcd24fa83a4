#include <doctest/doctest.h>
#include <rapidcheck/state.h>

#include <map>

#include "turmericdyke/Routing"

using namespace turmericdyke;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

AttemptId attempt(int Number) {
  return AttemptId("a" + std::to_string(Number));
}

ReplicaId replica(int Number) {
  return ReplicaId("r" + std::to_string(Number));
}

/// Maps each open attempt to its replica and request class.
struct Model {
  std::map<int, std::pair<int, RequestClass>> m_open;
};

struct System {
  LoadTracker m_tracker;
  int m_ms = 0;
};

void compare(const Model &M, const System &S) {
  for (int R = 0; R < 3; ++R) {
    ReplicaLoad Load = S.m_tracker.load(at(S.m_ms), replica(R));
    std::int64_t Short = 0;
    std::int64_t Long = 0;
    for (const auto &[Id, Where] : M.m_open)
      if (Where.first == R)
        ++(Where.second == RequestClass::Long ? Long : Short);
    RC_ASSERT(Load.m_outstandingShort == Short);
    RC_ASSERT(Load.m_outstandingLong == Long);
    RC_ASSERT(Load.m_othersShort >= 0);
    RC_ASSERT(Load.m_othersLong >= 0);
  }
  RC_ASSERT(S.m_tracker.openAttempts() == M.m_open.size());
}

/// One random event; starts and finishes may repeat or name unknown attempts.
struct Event : rc::state::Command<Model, System> {
  int m_kind = *rc::gen::inRange(0, 5);
  int m_attempt = *rc::gen::inRange(0, 8);
  int m_replica = *rc::gen::inRange(0, 3);
  RequestClass m_class =
      *rc::gen::element(RequestClass::Short, RequestClass::Long);

  void apply(Model &M) const override {
    auto Open = M.m_open.find(m_attempt);
    if (m_kind == 0)
      M.m_open.try_emplace(m_attempt, m_replica, m_class);
    else if (m_kind == 1)
      M.m_open.erase(m_attempt);
    else if (m_kind == 2 && Open != M.m_open.end())
      Open->second.second = m_class;
  }

  void run(const Model &M, System &S) const override {
    S.m_ms += 10;
    TargetLoad Load;
    Load.m_running = m_attempt;
    Load.m_runningLong = m_attempt / 2;
    if (m_kind == 0)
      S.m_tracker.started(at(S.m_ms), attempt(m_attempt), replica(m_replica),
                          m_class);
    else if (m_kind == 1)
      S.m_tracker.finished(at(S.m_ms), attempt(m_attempt));
    else if (m_kind == 2)
      S.m_tracker.reclassified(at(S.m_ms), attempt(m_attempt), m_class);
    else if (m_kind == 3)
      S.m_tracker.reported(at(S.m_ms), replica(m_replica), Load,
                           absl::Milliseconds(m_attempt * 20));
    else
      S.m_tracker.forget(replica(m_replica));
    compare(nextState(M), S);
  }
};

} // namespace

TEST_CASE("outstanding counts stay exact under repeated, late and unknown "
          "events") {
  CHECK(rc::check([] {
    System S;
    rc::state::check(Model(), S, rc::state::gen::execOneOfWithArgs<Event>());
  }));
}

TEST_CASE(
    "requests of this node are not counted twice if a late report includes "
    "some of them") {
  LoadTracker Tracker;
  Tracker.started(at(0), attempt(1), replica(0), RequestClass::Short);
  Tracker.started(at(100), attempt(2), replica(0), RequestClass::Long);
  Tracker.started(at(600), attempt(3), replica(0), RequestClass::Short);
  TargetLoad Load;
  Load.m_running = 4;
  Load.m_waiting = 1;
  Load.m_runningLong = 2;
  Tracker.reported(at(700), replica(0), Load, absl::Milliseconds(500));
  ReplicaLoad Seen = Tracker.load(at(800), replica(0));
  CHECK(Seen.m_outstandingShort == 2);
  CHECK(Seen.m_outstandingLong == 1);
  CHECK(Seen.m_othersShort == 2);
  CHECK(Seen.m_othersLong == 1);
  CHECK(Seen.m_reportAge == absl::Milliseconds(600));
}

TEST_CASE("a report older than the last one is ignored") {
  LoadTracker Tracker;
  TargetLoad Newer;
  Newer.m_running = 1;
  TargetLoad Older;
  Older.m_running = 8;
  Tracker.reported(at(1000), replica(0), Newer, absl::Milliseconds(100));
  Tracker.reported(at(1010), replica(0), Older, absl::Milliseconds(500));
  CHECK(Tracker.load(at(1010), replica(0)).m_othersShort == 1);
}

TEST_CASE("a forgotten replica is removed once it is idle") {
  LoadTracker Tracker;
  Tracker.started(at(0), attempt(1), replica(0), RequestClass::Short);
  Tracker.forget(replica(0));
  CHECK(Tracker.replicas() == 1);
  Tracker.finished(at(1), attempt(1));
  CHECK(Tracker.replicas() == 0);
}
