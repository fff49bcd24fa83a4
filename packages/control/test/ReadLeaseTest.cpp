#include <doctest/doctest.h>

#include "turmericdyke/Control"

using namespace turmericdyke;

namespace {

const Instant Start = absl::FromUnixSeconds(1000);
const ReadLeaseLeaderState Leader{true, 5, 10, true};

Instant at(double Seconds) { return Start + absl::Seconds(Seconds); }

} // namespace

TEST_CASE("a lease lasts 3 s from the send time, however late the grant is") {
  ReadLease Lease(NodeId("n1"), 7, 10);
  CHECK_FALSE(Lease.holds(Start));
  ReadLeaseRequest Request = *Lease.tick(Start);
  CHECK_FALSE(Lease.tick(at(0.4)).has_value());
  ReadLeaseGrant Grant = *grantReadLease(Request, Leader);
  CHECK(Lease.receive(at(2), Grant));
  CHECK(Lease.holds(at(2.999)));
  CHECK_FALSE(Lease.holds(at(3)));
  CHECK_FALSE(Lease.receive(at(2.5), Grant));
  CHECK(Lease.validUntil() == at(3));
}

TEST_CASE("a grant that arrives 3 s after its request is ignored") {
  ReadLease Lease(NodeId("n1"), 7, 10);
  ReadLeaseGrant Grant = *grantReadLease(*Lease.tick(Start), Leader);
  CHECK_FALSE(Lease.receive(at(3), Grant));
  CHECK_FALSE(Lease.holds(at(3)));
}

TEST_CASE("the next grant makes up for a lost one, and reordered grants do not "
          "shorten the lease") {
  ReadLease Lease(NodeId("n1"), 7, 10);
  ReadLeaseGrant First = *grantReadLease(*Lease.tick(Start), Leader);
  Lease.tick(at(0.5));
  ReadLeaseGrant Third = *grantReadLease(*Lease.tick(at(1)), Leader);
  CHECK(Lease.receive(at(1.1), Third));
  Lease.receive(at(1.2), First);
  CHECK(Lease.validUntil() == at(4));
}

TEST_CASE("a node behind the leader's commit index holds no lease until it has "
          "applied it") {
  ReadLease Lease(NodeId("n1"), 7, 8);
  ReadLeaseGrant Grant = *grantReadLease(*Lease.tick(Start), Leader);
  CHECK(Lease.receive(at(0.1), Grant));
  Lease.applied(9);
  CHECK_FALSE(Lease.holds(at(0.2)));
  Lease.applied(10);
  CHECK(Lease.validUntil() == at(3));
}

TEST_CASE("grants of an older term, for another process or without a matching "
          "request are ignored") {
  ReadLease Lease(NodeId("n1"), 7, 100);
  ReadLeaseRequest First = *Lease.tick(Start);
  ReadLeaseRequest Second = *Lease.tick(at(0.5));
  ReadLeaseLeaderState Newer = Leader;
  Newer.m_term = 6;
  CHECK(Lease.receive(at(0.6), *grantReadLease(First, Newer)));
  CHECK_FALSE(Lease.receive(at(0.6), *grantReadLease(Second, Leader)));
  ReadLeaseGrant Grant = *grantReadLease(Second, Newer);
  Grant.m_incarnation = 6;
  CHECK_FALSE(Lease.receive(at(0.6), Grant));
  Grant = *grantReadLease(Second, Newer);
  Grant.m_sentAtMicros += 1'000'000;
  CHECK_FALSE(Lease.receive(at(0.6), Grant));
  CHECK(Lease.validUntil() == at(3));
}

TEST_CASE("a leader grants nothing without its leader lease or before it "
          "commits an entry of its term") {
  ReadLeaseRequest Request{NodeId("n1"), 1, 0};
  ReadLeaseLeaderState Without = Leader;
  Without.m_holdsLeaderLease = false;
  CHECK_FALSE(grantReadLease(Request, Without).has_value());
  Without = Leader;
  Without.m_committedInTerm = false;
  CHECK_FALSE(grantReadLease(Request, Without).has_value());
}
