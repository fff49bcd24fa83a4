#include <doctest/doctest.h>
#include <rapidcheck/state.h>

#include "turmericdyke/Admission"

using namespace turmericdyke;

namespace {

Instant at(std::int64_t Ms) {
  return absl::UnixEpoch() + absl::Milliseconds(Ms);
}

const LimitId Limit = customerLimitId(CustomerId("a"));
const QuotaOptions NoFloor{};

QuotaDemand demand(std::int64_t Need, std::int64_t InUse = 0) {
  return QuotaDemand{Limit, Need, InUse};
}

/// Asks and delivers the answer at once.
void renew(QuotaAllocator &Allocator, QuotaClient &Holder, Instant Now,
           std::int64_t Need, std::int64_t InUse = 0) {
  QuotaRequest Request = Holder.makeRequest(Now, {demand(Need, InUse)});
  if (std::optional<QuotaGrant> Grant = Allocator.request(Now, Request))
    Holder.onGrant(Now, *Grant);
}

struct Pair {
  QuotaAllocator m_allocator{at(0), NoFloor};
  QuotaClient m_a{NodeId("a"), 1, NoFloor};
  QuotaClient m_b{NodeId("b"), 1, NoFloor};

  Pair() { m_allocator.setLimit(Limit, 10); }
  void renewBoth(std::int64_t Ms, std::int64_t NeedA, std::int64_t NeedB) {
    renew(m_allocator, m_a, at(Ms), NeedA);
    renew(m_allocator, m_b, at(Ms), NeedB);
  }
};

} // namespace

TEST_CASE("a limit follows demand, without waiting for acknowledged leases to "
          "expire") {
  Pair P;
  for (int Ms = 1000; Ms < 4000; Ms += 250)
    P.renewBoth(Ms, 30, 0);
  CHECK(P.m_a.amount(at(4000), Limit, 10) == 10);
  for (int Ms = 4000; Ms <= 4500; Ms += 250)
    P.renewBoth(Ms, 0, 30);
  CHECK(P.m_a.amount(at(4500), Limit, 10) == 0);
  CHECK(P.m_b.amount(at(4500), Limit, 10) == 10);
}

TEST_CASE("the parts of a limit add up to it, so that none of it is idle") {
  Pair P;
  for (int Ms = 1000; Ms < 4000; Ms += 250)
    P.renewBoth(Ms, 7, 6);
  CHECK(P.m_a.amount(at(4000), Limit, 10) + P.m_b.amount(at(4000), Limit, 10) ==
        10);
}

TEST_CASE("requests that still run from a larger lease take up the limit") {
  Pair P;
  for (int Ms = 1000; Ms < 4000; Ms += 250)
    P.renewBoth(Ms, 10, 0);
  for (int Ms = 4000; Ms < 5000; Ms += 250) {
    renew(P.m_allocator, P.m_a, at(Ms), 8, 8);
    renew(P.m_allocator, P.m_b, at(Ms), 50);
  }
  CHECK(P.m_b.amount(at(5000), Limit, 10) == 2);
}

TEST_CASE("a new leader grants nothing while leases of the old one may run") {
  Pair P;
  renew(P.m_allocator, P.m_a, at(1999), 5);
  CHECK_FALSE(P.m_a.hasLease(at(1999)));
  renew(P.m_allocator, P.m_a, at(2000), 5);
  CHECK(P.m_a.hasLease(at(2000)));
}

TEST_CASE("a node that is cut off falls back to its floor before the leader "
          "gives its lease to others") {
  QuotaOptions Options;
  Options.m_maxNodes = 2;
  QuotaAllocator Allocator(at(0), Options);
  Allocator.setLimit(Limit, 20);
  QuotaClient Holder(NodeId("a"), 1, Options);
  renew(Allocator, Holder, at(3000), 20);
  CHECK(Holder.amount(at(3000), Limit, 20) == 18);
  CHECK(Holder.amount(at(4799), Limit, 20) == 18);
  CHECK(Holder.amount(at(4800), Limit, 20) == 2);
}

TEST_CASE("a grant for an earlier start of the node or after its lease time is "
          "not taken") {
  Pair P;
  QuotaRequest Request = P.m_a.makeRequest(at(3000), {demand(5)});
  std::optional<QuotaGrant> Grant = P.m_allocator.request(at(3000), Request);
  REQUIRE(Grant.has_value());
  QuotaClient Restarted(NodeId("a"), 2, NoFloor);
  Restarted.makeRequest(at(3000), {demand(5)});
  Restarted.onGrant(at(3001), *Grant);
  CHECK_FALSE(Restarted.hasLease(at(3001)));
  P.m_a.onGrant(at(4900), *Grant);
  CHECK_FALSE(P.m_a.hasLease(at(4900)));
}

TEST_CASE("a holder does not go back to an earlier grant, whose lease the "
          "leader no longer counts") {
  Pair P;
  QuotaRequest First = P.m_a.makeRequest(at(3000), {demand(8)});
  std::optional<QuotaGrant> Large = P.m_allocator.request(at(3000), First);
  REQUIRE(Large.has_value());
  renew(P.m_allocator, P.m_b, at(3100), 10);
  renew(P.m_allocator, P.m_a, at(3200), 0);
  renew(P.m_allocator, P.m_a, at(3300), 0);
  renew(P.m_allocator, P.m_b, at(3400), 10);
  REQUIRE(P.m_b.amount(at(3400), Limit, 10) == 10);
  P.m_a.onGrant(at(3500), *Large);
  CHECK(P.m_a.amount(at(3500), Limit, 10) == 0);
}

TEST_CASE("a repeated or overtaken request is not answered, so that old demand "
          "does not replace newer") {
  Pair P;
  QuotaRequest Old = P.m_a.makeRequest(at(3000), {demand(8)});
  QuotaRequest New = P.m_a.makeRequest(at(3100), {demand(1)});
  CHECK(P.m_allocator.request(at(3200), New).has_value());
  CHECK_FALSE(P.m_allocator.request(at(3200), Old).has_value());
  CHECK_FALSE(P.m_allocator.request(at(3200), New).has_value());
}

TEST_CASE("a node beyond those that the floor is divided between gets no "
          "lease") {
  QuotaOptions Options;
  Options.m_maxNodes = 1;
  QuotaAllocator Allocator(at(0), Options);
  Allocator.setLimit(Limit, 20);
  QuotaClient First(NodeId("a"), 1, Options);
  QuotaClient Second(NodeId("b"), 1, Options);
  renew(Allocator, First, at(3000), 1);
  renew(Allocator, Second, at(3000), 1);
  CHECK(First.hasLease(at(3000)));
  CHECK_FALSE(Second.hasLease(at(3000)));
}

TEST_CASE("capacity held is divided like the limit, and a part of one request "
          "counts as one") {
  Customer C;
  C.m_capacity = 2;
  C.m_capacityLimit = 10;
  CHECK(leasedShare(C, 10) == CustomerShare{2, 10});
  CHECK(leasedShare(C, 1) == CustomerShare{1, 1});
  CHECK(leasedShare(C, 0) == CustomerShare{0, 0});
}

namespace {

constexpr int Nodes = 3;
constexpr std::int64_t Total = 11;

/// A leader and nodes whose clocks have other epochs and speeds, with messages
/// in flight.
struct Cluster {
  QuotaOptions m_options;
  QuotaAllocator m_allocator;
  std::vector<QuotaClient> m_holders;
  std::vector<QuotaRequest> m_requests;
  std::vector<QuotaGrant> m_grants;
  std::int64_t m_ms = 10000;

  static QuotaOptions options(bool Floor) {
    QuotaOptions Options;
    Options.m_maxNodes = Floor ? Nodes : 0;
    Options.m_floorShare = 0.6;
    return Options;
  }

  explicit Cluster(bool Floor)
      : m_options(options(Floor)), m_allocator(at(0), m_options) {
    m_allocator.setLimit(Limit, Total);
    for (int Node = 0; Node < Nodes; ++Node)
      m_holders.emplace_back(name(Node), 1, m_options);
  }

  static NodeId name(int Node) { return NodeId(std::to_string(Node)); }

  /// Node 0 runs 5 % slow, node 2 runs 5 % fast.
  Instant clock(int Node) const {
    return at(std::int64_t{500000} * Node + m_ms * (95 + 5 * Node) / 100);
  }

  void verify() const {
    std::int64_t Sum = 0;
    for (int Node = 0; Node < Nodes; ++Node) {
      auto Index = static_cast<std::size_t>(Node);
      std::int64_t Amount = m_holders[Index].amount(clock(Node), Limit, Total);
      RC_ASSERT(Amount >= 0);
      Sum += Amount;
    }
    RC_ASSERT(Sum <= Total);
  }
};

struct NoModel {};

/// Sends, delivers (late, out of order, again or never), restarts a node or
/// the leader, or lets time pass, up to pauses beyond the lease.
struct Event : rc::state::Command<NoModel, Cluster> {
  int m_kind = *rc::gen::weightedElement<int>(
      {{6, 0}, {6, 1}, {6, 2}, {3, 3}, {1, 4}, {1, 5}});
  int m_node = *rc::gen::inRange(0, Nodes);
  int m_which = *rc::gen::inRange(0, 4);
  std::int64_t m_demand = *rc::gen::inRange(0, 20);
  bool m_keep = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});

  void run(const NoModel &, Cluster &C) const override {
    auto Node = static_cast<std::size_t>(m_node);
    QuotaClient &Holder = C.m_holders[Node];
    if (m_kind == 0)
      C.m_requests.push_back(
          Holder.makeRequest(C.clock(m_node), {demand(m_demand)}));
    else if (m_kind == 1)
      deliverRequest(C);
    else if (m_kind == 2)
      deliverGrant(C);
    else if (m_kind == 3)
      C.m_ms += m_which == 3 ? 2500 : 150 * (m_which + 1);
    else if (m_kind == 4)
      Holder = QuotaClient(Cluster::name(m_node),
                           static_cast<std::uint64_t>(C.m_ms), C.m_options);
    else
      restartLeader(C);
    C.verify();
  }

  template <class Message> Message take(std::vector<Message> &All) const {
    // Counted from the newest, so that most messages arrive soon.
    std::size_t Index =
        All.size() - 1 - static_cast<std::size_t>(m_which) % All.size();
    Message Taken = All[Index];
    if (!m_keep)
      All.erase(All.begin() + static_cast<std::ptrdiff_t>(Index));
    return Taken;
  }

  void deliverRequest(Cluster &C) const {
    if (C.m_requests.empty())
      return;
    QuotaRequest Request = take(C.m_requests);
    if (std::optional<QuotaGrant> G =
            C.m_allocator.request(at(C.m_ms), Request))
      C.m_grants.push_back(*G);
  }

  void deliverGrant(Cluster &C) const {
    if (C.m_grants.empty())
      return;
    QuotaGrant Grant = take(C.m_grants);
    for (int Node = 0; Node < Nodes; ++Node)
      C.m_holders[static_cast<std::size_t>(Node)].onGrant(C.clock(Node), Grant);
  }

  static void restartLeader(Cluster &C) {
    C.m_allocator = QuotaAllocator(at(C.m_ms), C.m_options);
    C.m_allocator.setLimit(Limit, Total);
  }
};

} // namespace

TEST_CASE("the sum of unexpired leases and floors never exceeds the limit, "
          "whatever happens to messages and processes") {
  CHECK(rc::check([](bool Floor) {
    Cluster C(Floor);
    rc::state::check(NoModel(), C, rc::state::gen::execOneOfWithArgs<Event>());
  }));
}
