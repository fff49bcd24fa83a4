#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "turmericdyke/Requests"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch();
const std::string Token =
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const std::string Finish =
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const std::string Done = "data: [DONE]\n\n";

AttemptMachine sentAttempt(ResponseFormat Shape) {
  AttemptMachine Machine(AttemptId("a1"), Shape, AttemptLimits(), Start);
  Machine.onSending();
  return Machine;
}

ResponseHead okHead() { return {200, AttemptId("a1"), false}; }

} // namespace

TEST_CASE(
    "an answer for a different attempt is discarded with its connection") {
  AttemptMachine Machine = sentAttempt(ResponseFormat::EventStream);
  AttemptActions Actions = Machine.onHead(Start, {200, AttemptId("a2"), false});
  REQUIRE(Actions.m_result.has_value());
  CHECK(Actions.m_result->m_end == AttemptEnd::AttemptMismatch);
  CHECK(Actions.m_closeConnection);
  CHECK(Machine.onBody(Start, Token).m_forward.empty());
}

TEST_CASE("a truncated stream is never reported as complete") {
  for (const std::string &Body : {Token, Token + Finish, Token + Done}) {
    AttemptMachine Machine = sentAttempt(ResponseFormat::EventStream);
    Machine.onHead(Start, okHead());
    AttemptActions Actions = Machine.onBody(Start, Body);
    if (!Actions.m_result)
      Actions = Machine.onConnectionEnd(Start, ConnectionEnd::MessageComplete);
    REQUIRE(Actions.m_result.has_value());
    CHECK(Actions.m_result->m_end == AttemptEnd::EndedEarly);
    CHECK(Actions.m_result->outcome() == Outcome::MayHaveRun);
  }
}

TEST_CASE("bytes that are no answer end an attempt that may have run") {
  for (bool HeadSeen : {false, true}) {
    AttemptMachine Machine = sentAttempt(ResponseFormat::Plain);
    if (HeadSeen)
      Machine.onHead(Start, okHead());
    AttemptActions Actions =
        Machine.onConnectionEnd(Start, ConnectionEnd::Malformed);
    REQUIRE(Actions.m_result.has_value());
    CHECK(Actions.m_result->m_end == AttemptEnd::Malformed);
    CHECK(Actions.m_result->outcome() == Outcome::MayHaveRun);
    CHECK(Actions.m_closeConnection);
  }
}

TEST_CASE("a failed connect proves that the request did not run") {
  AttemptMachine Machine = sentAttempt(ResponseFormat::Plain);
  AttemptActions Actions =
      Machine.onConnectionEnd(Start, ConnectionEnd::ConnectFailed);
  REQUIRE(Actions.m_result.has_value());
  CHECK(Actions.m_result->outcome() == Outcome::NotRun);
}

TEST_CASE("timeouts apply to the first byte and to the gaps between chunks") {
  AttemptMachine First = sentAttempt(ResponseFormat::EventStream);
  CHECK_FALSE(First.onTick(Start + absl::Seconds(9)).m_result.has_value());
  CHECK(First.onTick(Start + absl::Seconds(10)).m_result->m_end ==
        AttemptEnd::TimedOut);
  AttemptMachine Later = sentAttempt(ResponseFormat::EventStream);
  Later.onHead(Start, okHead());
  Later.onBody(Start + absl::Seconds(1), Token);
  CHECK_FALSE(Later.onTick(Start + absl::Seconds(5)).m_result.has_value());
  AttemptActions Actions = Later.onTick(Start + absl::Seconds(6));
  CHECK(Actions.m_result->m_end == AttemptEnd::TimedOut);
  CHECK(Actions.m_cancelAtTarget);
}

TEST_CASE("a caller disconnect cancels the attempt at the target") {
  AttemptMachine Machine = sentAttempt(ResponseFormat::EventStream);
  CHECK(Machine.onCallerGone(Start).m_cancelAtTarget);
}

TEST_CASE("however a stream is split into chunks, the caller receives each "
          "complete event exactly once") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Cuts) {
    std::string Body = Token + Token + Finish + Done;
    AttemptMachine Machine = sentAttempt(ResponseFormat::EventStream);
    Machine.onHead(Start, okHead());
    std::string Received;
    std::size_t At = 0;
    for (std::size_t Piece = 0; At < Body.size(); ++Piece) {
      std::size_t Length =
          Cuts.empty() ? 7 : Cuts[Piece % Cuts.size()] + std::size_t{1};
      Received +=
          Machine.onBody(Start, std::string_view(Body).substr(At, Length))
              .m_forward;
      At += Length;
    }
    RC_ASSERT(Received == Body);
    RC_ASSERT(Machine.ended());
  }));
}

// Guards against an attempt that ends twice, forwards bytes after its end, or
// reports `ran` for an incomplete answer.
TEST_CASE("any sequence of events ends an attempt at most once, and `ran` "
          "requires a complete answer") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Events) {
    AttemptMachine Machine = sentAttempt(ResponseFormat::EventStream);
    Instant Now = Start;
    int EndCount = 0;
    std::string Received;
    for (std::uint8_t Event : Events) {
      AttemptActions Actions;
      bool EndedBefore = Machine.ended();
      Now += absl::Milliseconds(Event);
      switch (Event % 8) {
      case 0:
        Actions = Machine.onHead(Now, okHead());
        break;
      case 1:
        Actions = Machine.onBody(Now, Token);
        break;
      case 2:
        Actions = Machine.onBody(Now, Finish);
        break;
      case 3:
        Actions = Machine.onBody(Now, Done);
        break;
      case 4:
        Actions = Machine.onConnectionEnd(Now, ConnectionEnd::MessageComplete);
        break;
      case 5:
        Actions = Machine.onConnectionEnd(Now, ConnectionEnd::Broken);
        break;
      case 6:
        Actions = Machine.onTick(Now);
        break;
      default:
        Actions = Machine.onBody(Now, "data: {broken\n\n");
        break;
      }
      RC_ASSERT(!EndedBefore ||
                (!Actions.m_result && Actions.m_forward.empty()));
      Received += Actions.m_forward;
      EndCount += Actions.m_result ? 1 : 0;
      if (Actions.m_result && Actions.m_result->outcome() == Outcome::Ran) {
        RC_ASSERT(Received.find(Finish) != std::string::npos);
        RC_ASSERT(Received.size() >= Done.size());
        RC_ASSERT(Received.substr(Received.size() - Done.size()) == Done);
      }
    }
    RC_ASSERT(EndCount <= 1);
  }));
}

TEST_CASE(
    "random bytes neither crash the stream parser nor complete an answer") {
  CHECK(rc::check([](const std::string &Bytes) {
    EventStreamParser Parser(1024);
    Parser.feed(Bytes);
    RC_ASSERT(!Parser.complete());
  }));
}

TEST_CASE("retries stay within a tenth of the requests plus the reserve") {
  RetryBudget Budget;
  std::mt19937_64 Random(1);
  AttemptResult Failed{AttemptEnd::EndedEarly, 0, true, false, 0};
  int Retries = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    Budget.onRequest();
    RetryRequest Facts{true, 1, absl::InfiniteFuture()};
    Retries += decideRetry(Start, {}, Facts, Failed, Budget, Random).has_value()
                   ? 1
                   : 0;
  }
  CHECK(Retries >= 100);
  CHECK(Retries <= 110);
}

TEST_CASE(
    "a non-idempotent call that may have run is never retried, nor is a call "
    "past its deadline or with a forwarded answer") {
  RetryBudget Budget;
  std::mt19937_64 Random(1);
  AttemptResult Interrupted{AttemptEnd::EndedEarly, 0, true, false, 0};
  AttemptResult NeverSent{AttemptEnd::ConnectFailed, 0, false, false, 0};
  AttemptResult Forwarded{AttemptEnd::EndedEarly, 200, true, true, 4};
  RetryRequest Once{false, 1, absl::InfiniteFuture()};
  RetryRequest Late{true, 1, Start};
  RetryRequest Repeatable{true, 1, absl::InfiniteFuture()};
  CHECK_FALSE(
      decideRetry(Start, {}, Once, Interrupted, Budget, Random).has_value());
  CHECK(decideRetry(Start, {}, Once, NeverSent, Budget, Random).has_value());
  CHECK_FALSE(
      decideRetry(Start, {}, Late, Interrupted, Budget, Random).has_value());
  CHECK_FALSE(decideRetry(Start, {}, Repeatable, Forwarded, Budget, Random)
                  .has_value());
}
