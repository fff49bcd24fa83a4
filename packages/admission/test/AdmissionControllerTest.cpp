#include <doctest/doctest.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>

#include "turmericdyke/Admission"

using namespace turmericdyke;

namespace {

Instant at(std::int64_t Ms) {
  return absl::UnixEpoch() + absl::Milliseconds(Ms);
}

RequestId id(int Number) { return RequestId(std::to_string(Number)); }

Customer customer(const char *Name, std::int64_t Held, std::int64_t Limit,
                  std::int64_t Rank = 5) {
  Customer C;
  C.m_id = CustomerId(Name);
  C.m_capacity = Held;
  C.m_capacityLimit = Limit;
  C.m_rank = Rank;
  return C;
}

AdmissionRequest request(int Number, const char *Name,
                         RequestClass Class = RequestClass::Short) {
  AdmissionRequest R;
  R.m_id = id(Number);
  R.m_customer = CustomerId(Name);
  R.m_class = Class;
  R.m_bytes = 100;
  return R;
}

AdmissionController controller(std::int64_t Slots,
                               const std::vector<Customer> &Customers,
                               AdmissionOptions Options = {}) {
  AdmissionController Controller(Options);
  Controller.setSlots(at(0), Slots);
  for (const Customer &C : Customers)
    Controller.setCustomer(at(0), C);
  return Controller;
}

/// Identifiers that were admitted by the last event.
std::vector<RequestId> admitted(AdmissionController &Controller) {
  std::vector<RequestId> Ids;
  for (const AdmissionDecision &D : Controller.takeDecisions())
    if (D.m_outcome == AdmissionOutcome::Admitted)
      Ids.push_back(D.m_id);
  return Ids;
}

constexpr AdmissionOutcome Admitted = AdmissionOutcome::Admitted;
constexpr AdmissionOutcome Queued = AdmissionOutcome::Queued;
constexpr AdmissionOutcome Refused = AdmissionOutcome::Refused;

} // namespace

TEST_CASE("capacity held is served before borrowers of a better rank") {
  AdmissionController A =
      controller(1, {customer("held", 1, 1, 9), customer("other", 0, 9, 0)});
  CHECK(A.offer(at(0), request(1, "other")).m_outcome == Admitted);
  CHECK(A.offer(at(1), request(2, "other")).m_outcome == Queued);
  CHECK(A.offer(at(2), request(3, "held")).m_outcome == Queued);
  A.finish(at(10), id(1));
  CHECK(admitted(A) == std::vector<RequestId>{id(3)});
}

TEST_CASE("among borrowers rank goes first, and waiting raises a rank so that "
          "nobody starves") {
  AdmissionController A =
      controller(1, {customer("a", 0, 9, 1), customer("b", 0, 9, 3)});
  A.offer(at(0), request(1, "a"));
  A.offer(at(0), request(2, "b"));
  A.offer(at(0), request(3, "a"));
  A.finish(at(100), id(1));
  CHECK(admitted(A) == std::vector<RequestId>{id(3)});
  // Customer "a" keeps one request waiting and is served every 500 ms.
  int Running = 3;
  int Ms = 100;
  while (Running != 2 && Ms < 9000) {
    A.offer(at(Ms), request(Ms, "a"));
    Ms += 500;
    A.finish(at(Ms), id(Running));
    std::vector<RequestId> Started = admitted(A);
    REQUIRE(Started.size() == 1);
    Running = std::stoi(Started[0].str());
  }
  CHECK(Running == 2);
  CHECK(Ms < 4000);
}

TEST_CASE("idle capacity is borrowed in proportion to capacity held") {
  AdmissionController A =
      controller(12, {customer("big", 2, 99), customer("small", 1, 99)});
  std::vector<RequestId> Running;
  for (int Number = 0; Number < 12; ++Number)
    A.offer(at(0), request(Number, "small"));
  for (int Number = 12; Number < 36; ++Number)
    A.offer(at(1), request(Number, Number % 2 == 0 ? "big" : "small"));
  for (int Number = 0; Number < 12; ++Number)
    A.finish(at(2), id(Number));
  CHECK(A.runningOf(CustomerId("big")) == 8);
  CHECK(A.runningOf(CustomerId("small")) == 4);
}

TEST_CASE("long requests leave slots to short ones, and waiting long ones do "
          "not hold up short ones behind them") {
  AdmissionController A = controller(4, {customer("a", 4, 4)});
  CHECK(A.offer(at(0), request(1, "a", RequestClass::Long)).m_outcome ==
        Admitted);
  CHECK(A.offer(at(0), request(2, "a", RequestClass::Long)).m_outcome ==
        Admitted);
  A.offer(at(0), request(3, "a", RequestClass::Long));
  CHECK(A.runningLong() == 2);
  CHECK(A.offer(at(0), request(4, "a")).m_outcome == Admitted);
  A.reclassify(at(1), id(4), RequestClass::Long);
  CHECK(A.runningLong() == 3);
  CHECK(A.offer(at(1), request(5, "a")).m_outcome == Admitted);
}

TEST_CASE("a request that would miss its deadline is refused at once with a "
          "time to try again") {
  AdmissionController A = controller(1, {customer("a", 1, 1)});
  A.offer(at(0), request(0, "a"));
  AdmissionDecision Last;
  int Accepted = 0;
  for (int Number = 1; Number < 50; ++Number) {
    Last = A.offer(at(0), request(Number, "a"));
    Accepted += Last.m_outcome == Queued;
  }
  // 10 s of deadline at an assumed second per request.
  CHECK(Accepted == 10);
  CHECK(Last.m_outcome == Refused);
  CHECK(Last.m_reason == RefusalReason::WouldMissDeadline);
  CHECK(Last.m_retryAfter >= absl::Seconds(10));
}

TEST_CASE("a request is not refused for shares that other customers do not "
          "use") {
  AdmissionController A =
      controller(10, {customer("idle", 9, 10), customer("busy", 1, 10)});
  A.offer(at(0), request(0, "idle"));
  int Accepted = 0;
  for (int Number = 1; Number < 300; ++Number)
    Accepted += A.offer(at(0), request(Number, "busy")).m_outcome == Queued;
  // 10 slots at an assumed second per request, within 10 s.
  CHECK(Accepted == 100);
}

TEST_CASE("a queued request leaves time for a first token that is slower than "
          "the mean") {
  AdmissionController A = controller(1, {customer("a", 1, 1)});
  std::int64_t Ms = 0;
  for (int Number = 0; Number < 1000; ++Number) {
    A.offer(at(Ms), request(Number, "a"));
    Ms += Number % 2 == 0 ? 500 : 1500;
    A.firstToken(at(Ms), id(Number));
    A.finish(at(Ms), id(Number));
  }
  A.offer(at(Ms), request(1000, "a"));
  A.offer(at(Ms), request(1001, "a"));
  absl::Duration Left = A.nextExpiry() - at(Ms);
  // 10 s of deadline less a mean of 1 s and a deviation of 0.5 s.
  CHECK(absl::ToDoubleSeconds(Left) == doctest::Approx(8.5).epsilon(0.01));
}

TEST_CASE("a caller's shorter deadline counts, a longer one does not") {
  AdmissionController A = controller(1, {customer("a", 1, 1)});
  A.offer(at(0), request(0, "a"));
  AdmissionRequest Hasty = request(1, "a");
  Hasty.m_firstTokenWithin = absl::Milliseconds(500);
  CHECK(A.offer(at(0), Hasty).m_reason == RefusalReason::WouldMissDeadline);
  AdmissionRequest Patient = request(2, "a");
  Patient.m_firstTokenWithin = absl::Hours(1);
  CHECK(A.offer(at(0), Patient).m_outcome == Queued);
  A.tick(at(10001));
  std::vector<AdmissionDecision> Decisions = A.takeDecisions();
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].m_reason == RefusalReason::Expired);
  CHECK(A.nextExpiry() == absl::InfiniteFuture());
}

TEST_CASE("queues are bounded in number, per customer and in bytes") {
  auto Accepted = [](AdmissionOptions Options) {
    AdmissionController A =
        controller(2, {customer("a", 1, 1), customer("b", 1, 1)}, Options);
    A.offer(at(0), request(0, "a"));
    A.offer(at(0), request(1, "b"));
    int Sum = 0;
    for (int Number = 2; Number < 10; ++Number) {
      AdmissionDecision D =
          A.offer(at(0), request(Number, Number % 2 == 0 ? "a" : "b"));
      Sum += D.m_outcome == Queued;
      CHECK((D.m_outcome == Queued || D.m_reason == RefusalReason::QueueFull));
    }
    return Sum;
  };
  CHECK(Accepted({}) == 8);
  CHECK(Accepted({.m_maxQueued = 3}) == 3);
  CHECK(Accepted({.m_maxQueuedPerCustomer = 2}) == 4);
  CHECK(Accepted({.m_maxQueuedBytes = 250}) == 2);
}

TEST_CASE("an identifier that is running or queued is not counted twice") {
  AdmissionController A = controller(1, {customer("a", 1, 1)});
  A.offer(at(0), request(1, "a"));
  A.offer(at(0), request(2, "a"));
  for (int Number : {1, 2})
    CHECK(A.offer(at(1), request(Number, "a")).m_reason ==
          RefusalReason::DuplicateRequest);
  CHECK(A.running() == 1);
  CHECK(A.queued() == 1);
}

TEST_CASE("a removed customer's queued requests are refused instead of kept "
          "for good") {
  AdmissionController A = controller(1, {customer("a", 1, 1)});
  A.offer(at(0), request(1, "a"));
  A.offer(at(0), request(2, "a"));
  A.removeCustomer(at(1), CustomerId("a"));
  std::vector<AdmissionDecision> Decisions = A.takeDecisions();
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].m_reason == RefusalReason::CustomerRemoved);
  CHECK(A.offer(at(2), request(3, "a")).m_reason ==
        RefusalReason::UnknownCustomer);
  A.finish(at(3), id(1));
  CHECK(A.running() == 0);
}

TEST_CASE("a long request yields to urgent short work, a bounded number of "
          "times, and is resumed") {
  AdmissionOptions Options;
  Options.m_longShare = 1;
  Options.m_yield.m_maxYields = 1;
  AdmissionController A = controller(1, {customer("a", 1, 1)}, Options);
  A.offer(at(0), request(1, "a", RequestClass::Long));
  A.offer(at(0), request(2, "a"));
  CHECK_FALSE(A.yieldCandidate(at(1000)).has_value());
  CHECK_FALSE(A.yieldCandidate(at(3000)).has_value());
  REQUIRE(A.yieldCandidate(at(8500)) == id(1));
  A.yield(at(8500), id(1));
  CHECK(admitted(A) == std::vector<RequestId>{id(2)});
  A.finish(at(9000), id(2));
  CHECK(admitted(A) == std::vector<RequestId>{id(1)});
  A.offer(at(9000), request(3, "a"));
  CHECK_FALSE(A.yieldCandidate(at(18900)).has_value());
}

TEST_CASE("a paused request goes before borrowers of any rank once its pause "
          "is over, so that a steady load cannot hold it for good") {
  AdmissionOptions Options;
  Options.m_longShare = 1;
  Options.m_rankAgeing = absl::Hours(1);
  AdmissionController A = controller(
      1, {customer("late", 0, 1, 9), customer("a", 0, 9, 0)}, Options);
  A.offer(at(0), request(0, "late", RequestClass::Long));
  A.offer(at(1), request(1, "a"));
  A.yield(at(2), id(0));
  REQUIRE(admitted(A) == std::vector<RequestId>{id(1)});
  int Next = 2;
  std::int64_t Ms = 2;
  while (A.runningLong() == 0 && Ms < 20000) {
    A.offer(at(Ms), request(Next, "a"));
    Ms += 500;
    A.finish(at(Ms), id(Next - 1));
    ++Next;
  }
  CHECK(Ms > 5000);
  CHECK(Ms <= 2 + 5000 + 500);
}

namespace {

/// The oracle: what each request is, from the decisions alone.
struct Oracle {
  enum class State { Queued, Paused, Running, Refused, Ended };
  struct Item {
    std::string m_customer;
    RequestClass m_class;
    State m_state;
  };
  struct Share {
    std::int64_t m_held;
    std::int64_t m_limit;
    bool m_exists;
  };
  AdmissionController m_admission;
  std::map<RequestId, Item> m_items;
  std::map<std::string, Share> m_shares;
  std::int64_t m_slots = 3;
  std::int64_t m_ms = 0;
  int m_next = 0;

  static AdmissionOptions options() {
    AdmissionOptions Options;
    Options.m_maxQueued = 6;
    Options.m_maxQueuedPerCustomer = 4;
    return Options;
  }

  Oracle() : m_admission(options()) {
    m_admission.setSlots(at(0), m_slots);
    set("a", 2, 4);
    set("b", 1, 3);
    set("c", 0, 2);
  }

  void set(const std::string &Name, std::int64_t Held, std::int64_t Limit) {
    Customer C = customer(Name.c_str(), Held, Limit);
    C.m_firstTokenDeadline = absl::Seconds(4);
    m_shares[Name] = {Held, Limit, true};
    m_admission.setCustomer(at(m_ms), C);
  }

  std::int64_t count(State S, const std::string &Name = "",
                     bool OnlyLong = false) const {
    std::int64_t Sum = 0;
    for (const auto &[Id, I] : m_items)
      Sum += I.m_state == S && (Name.empty() || I.m_customer == Name) &&
             (!OnlyLong || I.m_class == RequestClass::Long);
    return Sum;
  }

  void starts(const Item &I) {
    RC_ASSERT(count(State::Running) < m_slots);
    if (I.m_class == RequestClass::Long)
      RC_ASSERT(count(State::Running, "", true) <
                std::max<std::int64_t>(1, m_slots / 2));
    const Share &S = m_shares.at(I.m_customer);
    RC_ASSERT(I.m_state == State::Paused || S.m_exists);
    if (S.m_exists)
      RC_ASSERT(count(State::Running, I.m_customer) < S.m_limit);
  }

  void take() {
    takeDecisions();
    verify();
  }

  void takeDecisions() {
    for (const AdmissionDecision &D : m_admission.takeDecisions()) {
      auto Found = m_items.find(D.m_id);
      RC_ASSERT(Found != m_items.end());
      Item &I = Found->second;
      RC_ASSERT(I.m_state == State::Queued || I.m_state == State::Paused);
      RC_ASSERT(D.m_outcome != AdmissionOutcome::Queued);
      if (D.m_outcome == AdmissionOutcome::Admitted)
        starts(I);
      else
        RC_ASSERT(I.m_state == State::Queued);
      I.m_state = D.m_outcome == AdmissionOutcome::Admitted ? State::Running
                                                            : State::Refused;
    }
  }

  void verify() {
    std::int64_t Queued = count(State::Queued);
    std::int64_t Paused = count(State::Paused);
    RC_ASSERT(m_admission.running() == count(State::Running));
    RC_ASSERT(m_admission.runningLong() == count(State::Running, "", true));
    RC_ASSERT(m_admission.queued() == Queued + Paused);
    RC_ASSERT(m_admission.queuedBytes() == 100 * (Queued + Paused));
    for (const auto &[Id, I] : m_items) {
      if (I.m_state != State::Queued || I.m_class == RequestClass::Long)
        continue;
      const Share &S = m_shares.at(I.m_customer);
      bool IsUnder =
          count(State::Running, I.m_customer) < std::min(S.m_held, S.m_limit);
      RC_ASSERT(!(IsUnder && count(State::Running) < m_slots));
    }
  }

  void offer(const std::string &Name, RequestClass Class) {
    int Number = m_next++;
    Item I{Name, Class, State::Queued};
    const Share &S = m_shares.at(Name);
    AdmissionDecision D =
        m_admission.offer(at(m_ms), request(Number, Name.c_str(), Class));
    RC_ASSERT(D.m_id == id(Number));
    takeDecisions();
    bool IsHeld = S.m_exists && Class == RequestClass::Short &&
                  count(State::Running, Name) < std::min(S.m_held, S.m_limit);
    if (IsHeld && count(State::Running) < m_slots)
      RC_ASSERT(D.m_outcome == AdmissionOutcome::Admitted);
    if (D.m_outcome == AdmissionOutcome::Admitted)
      starts(I);
    if (D.m_outcome == AdmissionOutcome::Queued)
      RC_ASSERT(count(State::Queued, Name) < 4);
    if (D.m_outcome == AdmissionOutcome::Queued)
      RC_ASSERT(count(State::Queued) + count(State::Paused) < 6);
    I.m_state = D.m_outcome == AdmissionOutcome::Admitted ? State::Running
                : D.m_outcome == AdmissionOutcome::Queued ? State::Queued
                                                          : State::Refused;
    m_items.emplace(id(Number), I);
    verify();
  }

  /// A request that is in the given state, if there is one.
  std::map<RequestId, Item>::iterator pick(State S, int Skip) {
    std::vector<std::map<RequestId, Item>::iterator> Matches;
    for (auto It = m_items.begin(); It != m_items.end(); ++It)
      if (It->second.m_state == S)
        Matches.push_back(It);
    if (Matches.empty())
      return m_items.end();
    return Matches[static_cast<std::size_t>(Skip) % Matches.size()];
  }

  void end(State S, int Skip) {
    auto Found = pick(S, Skip);
    if (Found == m_items.end())
      return;
    Found->second.m_state = State::Ended;
    m_admission.finish(at(m_ms), Found->first);
    take();
  }

  void drain() {
    for (State S : {State::Running, State::Paused, State::Queued})
      while (pick(S, 0) != m_items.end())
        end(S, 0);
    m_admission.tick(at(m_ms));
    take();
    RC_ASSERT(m_admission.queued() + m_admission.running() == 0);
    RC_ASSERT(m_admission.nextExpiry() == absl::InfiniteFuture());
  }
};

struct NoModel {};

struct Event : rc::state::Command<NoModel, Oracle> {
  int m_kind = *rc::gen::weightedElement<int>(
      {{8, 0}, {4, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}});
  int m_number = *rc::gen::inRange(0, 6);
  std::string m_name = *rc::gen::element<std::string>("a", "b", "c");
  RequestClass m_class = *rc::gen::weightedElement<RequestClass>(
      {{3, RequestClass::Short}, {1, RequestClass::Long}});

  void run(const NoModel &, Oracle &O) const override {
    using State = Oracle::State;
    O.m_ms += std::int64_t{50} * m_number * m_number;
    if (m_kind == 0)
      O.offer(m_name, m_class);
    else if (m_kind == 1)
      O.end(State::Running, m_number);
    else if (m_kind == 2)
      O.end(State::Queued, m_number);
    else if (m_kind == 3)
      change(O);
    else if (m_kind == 4)
      O.m_admission.setSlots(at(O.m_ms), O.m_slots = m_number);
    else if (m_kind == 5)
      O.m_admission.tick(at(O.m_ms));
    else
      move(O);
    O.take();
  }

  /// Changes a customer's settings, or removes it.
  void change(Oracle &O) const {
    if (m_number > 0)
      return O.set(m_name, m_number / 2, m_number);
    O.m_shares[m_name] = {0, 0, false};
    O.m_admission.removeCustomer(at(O.m_ms), CustomerId(m_name));
  }

  /// Pauses a running request or corrects its class.
  void move(Oracle &O) const {
    auto Found = O.pick(Oracle::State::Running, m_number);
    if (Found == O.m_items.end())
      return;
    if (m_kind == 6) {
      Found->second.m_class = m_class;
      O.m_admission.reclassify(at(O.m_ms), Found->first, m_class);
    } else {
      Found->second.m_state = Oracle::State::Paused;
      O.m_admission.yield(at(O.m_ms), Found->first);
    }
  }
};

} // namespace

TEST_CASE("bounds hold, capacity held is never denied, and each request ends "
          "in one decision, whatever the order of events") {
  CHECK(rc::check([] {
    Oracle O;
    rc::state::check(NoModel(), O, rc::state::gen::execOneOfWithArgs<Event>());
    O.drain();
  }));
}

TEST_CASE(
    "a node without a lease lets requests wait for it instead of refusing "
    "them, but refuses where there is nothing to lease") {
  AdmissionController A = controller(0, {customer("a", 2, 4)});
  CHECK(A.offer(at(0), request(1, "a")).m_outcome == Refused);
  A.setLeaseable(true);
  CHECK(A.offer(at(0), request(2, "a")).m_outcome == Queued);
  A.setSlots(at(200), 1);
  CHECK(admitted(A) == std::vector<RequestId>{id(2)});
}
