#include <doctest/doctest.h>

#include "turmericdyke/Admission"

using namespace turmericdyke;

namespace {

Instant at(int Ms) { return absl::UnixEpoch() + absl::Milliseconds(Ms); }

ConcurrencySample sample(int LatencyMs, std::int64_t Running,
                         std::int64_t Backlog) {
  return {absl::Milliseconds(LatencyMs), Running, Backlog};
}

} // namespace

TEST_CASE("the class follows prompt, token limit and declaration, and only "
          "grows") {
  CHECK(estimateClass({100, 200}, 4096) == RequestClass::Short);
  CHECK(estimateClass({4000, 96}, 4096) == RequestClass::Long);
  CHECK(estimateClass({3584, 0}, 4096) == RequestClass::Long);
  CHECK(correctClass(RequestClass::Short, {100, 200}, 3995, 4096) ==
        RequestClass::Short);
  CHECK(correctClass(RequestClass::Short, {100, 200}, 3996, 4096) ==
        RequestClass::Long);
  CHECK(correctClass(RequestClass::Long, {100, 200}, 1, 4096) ==
        RequestClass::Long);
  CHECK(estimateTokens(5) == 2);
}

TEST_CASE("the gradient lowers the limit as latency grows, stays in bounds and "
          "recovers") {
  GradientController C({.m_least = 2, .m_start = 16, .m_most = 32});
  C.observe(at(0), sample(100, 16, 0));
  for (int Step = 1; Step < 20; ++Step)
    C.observe(at(Step * 500), sample(2000, 16, 9));
  std::int64_t Low = C.limit();
  CHECK(Low < 10);
  CHECK(Low >= 2);
  for (int Step = 20; Step < 60; ++Step)
    C.observe(at(Step * 500), sample(100, C.limit(), 0));
  CHECK(C.limit() == 32);
}

TEST_CASE("the gradient does not keep a least latency that a new mix of load "
          "cannot reach") {
  GradientController C({.m_least = 2, .m_start = 16, .m_most = 32});
  C.observe(at(0), sample(100, 16, 0));
  for (int Step = 1; Step < 300; ++Step)
    C.observe(at(Step * 500), sample(1000, C.limit(), 0));
  CHECK(C.limit() == 32);
}

TEST_CASE("the proportional controller holds the backlog at its target") {
  BacklogOptions Options;
  Options.m_target = 1;
  BacklogController C({.m_least = 2, .m_start = 16, .m_most = 64}, Options);
  // An engine that runs 10 requests whatever it is given.
  std::int64_t Backlog = 0;
  for (int Step = 0; Step < 100; ++Step) {
    Backlog = std::max<std::int64_t>(0, C.limit() - 10);
    C.observe(at(Step * 500), sample(0, C.limit() - Backlog, Backlog));
  }
  CHECK(Backlog >= 0);
  CHECK(Backlog <= 2);
}

TEST_CASE("a limit that is not used does not grow without bound") {
  BacklogController C({.m_least = 2, .m_start = 16, .m_most = 64});
  for (int Step = 0; Step < 100; ++Step)
    C.observe(at(Step * 500), sample(0, 3, 0));
  CHECK(C.limit() == 16);
}

TEST_CASE("a long request is stopped neither too often nor too soon") {
  YieldPolicy Policy;
  Instant Soon = at(11000);
  CHECK(Policy.shouldYield(at(10000), at(0), 2, Soon));
  CHECK_FALSE(Policy.shouldYield(at(10000), at(0), 3, Soon));
  CHECK_FALSE(Policy.shouldYield(at(10000), at(9000), 0, Soon));
  CHECK_FALSE(Policy.shouldYield(at(10000), at(0), 0, at(15000)));
}
