#include <doctest/doctest.h>

#include "turmericdyke/Serving"

using namespace turmericdyke;

namespace {

BreakCause cause(bool Kept, std::optional<std::size_t> Unacknowledged,
                 int MillisSinceSent, bool SentWhole = true,
                 bool Reset = false) {
  BreakEvidence Evidence;
  Evidence.m_keptConnection = Kept;
  Evidence.m_sentWhole = SentWhole;
  Evidence.m_reset = Reset;
  Evidence.m_unacknowledged = Unacknowledged;
  Evidence.m_sinceSent = absl::Milliseconds(MillisSinceSent);
  return decideBreakCause(Evidence);
}

} // namespace

// Guards against crashes over kept connections that are taken for connections
// that the server had closed.
TEST_CASE("a request that the peer had acknowledged was delivered") {
  CHECK(cause(true, 0, 40) == BreakCause::Delivered);
  CHECK(cause(false, 0, 0) == BreakCause::Delivered);
  CHECK(cause(true, 0, 1) == BreakCause::Ambiguous);
}

// Guards against a slow server that closes an idle connection after a request
// has arrived, and is then taken out for a sound caller.
TEST_CASE(
    "a peer that resets a kept connection may not have read the request") {
  CHECK(cause(true, 0, 200, true, true) == BreakCause::Ambiguous);
  CHECK(cause(false, 0, 200, true, true) == BreakCause::Delivered);
}

// Guards against sound servers and requests that are blamed for a connection
// that had ended before.
TEST_CASE("a request that the peer had not acknowledged was not delivered") {
  CHECK(cause(true, 300, 1) == BreakCause::ClosedBefore);
  CHECK(cause(true, 300, 200) == BreakCause::ClosedBefore);
  CHECK(cause(false, 300, 1) == BreakCause::Undelivered);
  CHECK(cause(true, 0, 1, false) == BreakCause::ClosedBefore);
}

// Guards against a dark host that looks sound behind its kept connections.
TEST_CASE(
    "a request that a host leaves unacknowledged for long met a failure") {
  CHECK(cause(true, 300, 4000) == BreakCause::Undelivered);
}

TEST_CASE("without evidence of the socket the time since the request decides") {
  CHECK(cause(true, std::nullopt, 1) == BreakCause::ClosedBefore);
  CHECK(cause(true, std::nullopt, 60) == BreakCause::Delivered);
  CHECK(cause(false, std::nullopt, 60) == BreakCause::Delivered);
}
