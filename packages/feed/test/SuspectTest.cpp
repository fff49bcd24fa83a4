#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "absl/random/distributions.h"
#include "turmericdyke/Feed"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);

Instant after(int Millis) { return Start + absl::Milliseconds(Millis); }

bool neverRefused(SuspectKey) { return false; }

CrashReport crash(const std::string &Target, std::vector<SuspectKey> Keys,
                  bool Began = true) {
  return {TargetId(Target), 1, Began, std::move(Keys)};
}

constexpr SuspectKey First = 1;
constexpr SuspectKey Deadly = 2;

std::vector<SuspectKey>
guilty(const std::vector<CrashAttribution::Verdict> &Verdicts) {
  std::vector<SuspectKey> Keys;
  Keys.reserve(Verdicts.size());
  for (const CrashAttribution::Verdict &Value : Verdicts)
    Keys.push_back(Value.m_key);
  return Keys;
}

} // namespace

TEST_CASE("a part that is in all crashes is found guilty, not the sound part "
          "before it or one of the requests") {
  CrashAttribution Crashes;
  int Millis = 0;
  for (SuspectKey Request : {101, 102})
    for (const char *Target : {"a", "b"})
      Crashes.record(
          after(Millis += 400),
          crash(Target + std::to_string(Request), {First, Deadly, Request}));
  CHECK(Crashes.judge(after(Millis), neverRefused).empty());
  CHECK(guilty(Crashes.judge(after(Millis + 300), neverRefused)) ==
        std::vector<SuspectKey>{Deadly});
  CHECK(Crashes.judge(after(Millis + 900), neverRefused).empty());
}

TEST_CASE(
    "targets that crash together convict nothing, whatever their requests "
    "share") {
  CrashAttribution Crashes;
  // The exact request is one that several callers send.
  for (int At = 0; At < 20; ++At)
    Crashes.record(after(At * 10),
                   crash("t" + std::to_string(At), {First, 100ULL + At % 5}));
  (void)Crashes.judge(after(300), neverRefused);
  CHECK(Crashes.judge(after(5000), neverRefused).empty());
}

TEST_CASE("a request that got through clears the crashes before it, not those "
          "after it") {
  CrashAttribution Crashes;
  int Millis = 0;
  auto Record = [&](SuspectKey Request) {
    for (const char *Target : {"a", "b"})
      Crashes.record(after(Millis += 400),
                     crash(Target + std::to_string(Request), {First, Request}));
  };
  Record(101);
  Crashes.markProgress({First});
  Record(102);
  CHECK(Crashes.judge(after(Millis + 500), neverRefused).empty());
  Record(103);
  (void)Crashes.judge(after(Millis), neverRefused);
  CHECK(guilty(Crashes.judge(after(Millis + 500), neverRefused)) ==
        std::vector<SuspectKey>{First});
}

TEST_CASE("requests that waited at a target are no suspects where another one "
          "had begun") {
  CrashAttribution Crashes;
  Crashes.record(after(0), crash("t", {First, 101}, false));
  CHECK(Crashes.suspects().size() == 2);
  Crashes.record(after(5), crash("t", {Deadly, 102}));
  CHECK(Crashes.suspects() == std::vector<SuspectKey>{Deadly, 102});
}

TEST_CASE("a request that crashed three targets is guilty by itself, and one "
          "that was refused before by one more crash") {
  CrashAttribution Crashes;
  for (int At = 0; At < 3; ++At)
    Crashes.record(after(At * 400),
                   crash("t" + std::to_string(At), {First, 101}));
  (void)Crashes.judge(after(800), neverRefused);
  CHECK(guilty(Crashes.judge(after(1100), neverRefused)) ==
        std::vector<SuspectKey>{101});
  CrashAttribution Again;
  Again.record(after(0), crash("t", {First, Deadly, 102}));
  auto WasRefused = [](SuspectKey Key) { return Key == Deadly; };
  (void)Again.judge(after(0), WasRefused);
  CHECK(guilty(Again.judge(after(300), WasRefused)) ==
        std::vector<SuspectKey>{Deadly});
}

// Guards against a deadly request for a service that responds at the end of a
// run: each crash counts as one of a request that may have waited, and the
// platform allows three sends later than 3 s after the third crash.
TEST_CASE("a request that crashes targets without a response is refused in "
          "time, however seldom it comes") {
  for (int IntervalMillis : {500, 1500, 3000, 10'000}) {
    CAPTURE(IntervalMillis);
    CrashAttribution Crashes;
    int Millis = 0;
    int SentLate = 0;
    bool Refused = false;
    for (int Crash = 1; Crash <= 20 && !Refused; ++Crash) {
      Millis += IntervalMillis;
      SentLate += Millis > 3 * IntervalMillis + 3000 ? 1 : 0;
      Crashes.record(after(Millis),
                     crash("t" + std::to_string(Crash), {101}, false));
      (void)Crashes.judge(after(Millis), neverRefused);
      Refused = !Crashes.judge(after(Millis + 400), neverRefused).empty();
    }
    CHECK(Refused);
    // One more may be under way at another node.
    CHECK(SentLate + 1 <= 3);
  }
}

// Guards against a sound request that is refused because it was running on each
// target that a deadly one crashed: two attempts, and two of its caller's
// retry.
TEST_CASE("four crashes of targets without a response convict nobody") {
  CrashAttribution Crashes;
  for (int At = 0; At < 4; ++At)
    Crashes.record(after(At * 400),
                   crash("t" + std::to_string(At), {101}, false));
  (void)Crashes.judge(after(1600), neverRefused);
  CHECK(Crashes.judge(after(5000), neverRefused).empty());
}

namespace {

/// Requests of one route at many targets in virtual time, with the entry nodes
/// and the leader that watch them. A part of them crashes the target at the
/// start of its response; besides, targets crash by themselves.
class CrashLoad {
public:
  CrashLoad(unsigned Seed, double PerSecond, double DeadlyShare)
      : m_random(Seed), m_perSecond(PerSecond), m_deadlyShare(DeadlyShare),
        m_watches(Nodes) {}

  void run(absl::Duration Length) {
    for (Instant End = m_now + Length; m_now < End;) {
      m_now += absl::Milliseconds(10);
      tick();
    }
  }

  int m_crashesByDeadly = 0;
  /// Attempts with the deadly part that were sent after the fifth crash and the
  /// time that the platform allows.
  int m_sentLate = 0;
  int m_soundRefused = 0;

private:
  static constexpr std::size_t Nodes = 9;
  static constexpr int Targets = 15;
  static constexpr int SoundParts = 40;
  static constexpr int MaxAttempts = 2;

  struct Request {
    std::size_t m_node = 0;
    bool m_deadly = false;
    std::vector<SuspectKey> m_keys;
    int m_attempts = 0;
    int m_target = 0;
    Instant m_begins;
    Instant m_past;
  };

  void tick() {
    if (absl::Bernoulli(m_random, m_perSecond / 100))
      arrive();
    if (absl::Bernoulli(m_random, 0.002))
      crashSome();
    for (std::size_t At = 0; At < m_running.size(); ++At)
      advance(At);
    std::erase_if(m_running,
                  [](const Request &R) { return R.m_attempts == 0; });
    if (++m_ticks % 10 == 0)
      exchange();
  }

  void arrive() {
    Request New;
    New.m_node = absl::Uniform<std::size_t>(m_random, 0, Nodes);
    New.m_deadly = absl::Bernoulli(m_random, m_deadlyShare);
    // A few first parts are in most requests.
    double Rank = absl::Uniform(m_random, 0.0, 1.0);
    New.m_keys = {1000 + static_cast<SuspectKey>(SoundParts * Rank * Rank)};
    if (New.m_deadly)
      New.m_keys.push_back(Deadly);
    New.m_keys.push_back(10'000 + ++m_requests);
    send(New);
    if (New.m_attempts > 0)
      m_running.push_back(New);
  }

  void send(Request &Value) {
    if (m_watches[Value.m_node].isRefused(Value.m_keys)) {
      m_soundRefused += Value.m_deadly ? 0 : 1;
      Value.m_attempts = 0;
      return;
    }
    ++Value.m_attempts;
    Value.m_target = absl::Uniform(m_random, 0, Targets);
    Value.m_begins =
        m_now + absl::Milliseconds(absl::Uniform(m_random, 150, 600));
    Value.m_past = Value.m_begins + absl::Milliseconds(80);
    m_sentLate += Value.m_deadly && m_now > m_fifthCrash + absl::Seconds(3);
  }

  void advance(std::size_t At) {
    Request &Value = m_running[At];
    if (Value.m_attempts == 0)
      return;
    if (Value.m_deadly && m_now >= Value.m_begins + absl::Milliseconds(40)) {
      if (++m_crashesByDeadly == 5)
        m_fifthCrash = m_now;
      return crashTarget(Value.m_target);
    }
    if (m_now < Value.m_past)
      return;
    m_watches[Value.m_node].requestProgressed(
        m_now, Value.m_keys, {EventsPastCrash, EventsPastCrash});
    Value.m_attempts = 0;
  }

  void crashSome() {
    for (int Target = 0; Target < Targets; ++Target)
      if (absl::Bernoulli(m_random, 0.3))
        crashTarget(Target);
  }

  /// All attempts at the target break off and are sent again.
  void crashTarget(int Target) {
    ++m_generation;
    for (Request &Value : m_running) {
      if (Value.m_attempts == 0 || Value.m_target != Target)
        continue;
      m_watches[Value.m_node].attemptCrashed(
          m_now, {TargetId(std::to_string(Target)), m_generation,
                  m_now >= Value.m_begins, Value.m_keys});
      if (Value.m_attempts < MaxAttempts)
        send(Value);
      else
        Value.m_attempts = 0;
    }
  }

  /// Reports and lists are exchanged, up to 100 ms late.
  void exchange() {
    for (SuspectWatch &Watch : m_watches) {
      FeedRequest Report;
      Watch.takeReports(m_now, Report);
      for (const CrashReport &Crash : Report.m_crashes)
        m_crashes.record(m_now, Crash);
      for (const KeyProgress &Value : Report.m_progress)
        m_crashes.markProgress(Value);
    }
    for (const CrashAttribution::Verdict &Value :
         m_crashes.judge(m_now, neverRefused))
      m_lists.m_refused.push_back(Value.m_key);
    m_lists.m_suspects = m_crashes.suspects();
    for (SuspectWatch &Watch : m_watches)
      (void)Watch.update(m_lists);
  }

  std::mt19937_64 m_random;
  double m_perSecond;
  double m_deadlyShare;
  Instant m_now = Start;
  int m_ticks = 0;
  std::uint64_t m_generation = 0;
  SuspectKey m_requests = 0;
  std::vector<SuspectWatch> m_watches;
  std::vector<Request> m_running;
  CrashAttribution m_crashes;
  SuspectLists m_lists;
  Instant m_fifthCrash = absl::InfiniteFuture();
};

} // namespace

// Guards against requests with one part in their prompts that crash target
// after target, and against sound requests that are refused for what they share
// with them.
TEST_CASE(
    "after the fifth crash and 3 s no request with a deadly part is sent, "
    "while all sound ones are") {
  for (double Share : {0.02, 0.05, 0.1, 0.3})
    for (unsigned Seed = 1; Seed <= 25; ++Seed) {
      CAPTURE(Share);
      CAPTURE(Seed);
      CrashLoad Load(Seed, 19.3, Share);
      Load.run(absl::Seconds(22));
      CHECK(Load.m_sentLate <= 3);
      CHECK(Load.m_soundRefused == 0);
    }
}

TEST_CASE("no request is refused while targets crash for other reasons") {
  for (double PerSecond : {1.0, 5.0, 20.0})
    for (unsigned Seed = 1; Seed <= 25; ++Seed) {
      CAPTURE(PerSecond);
      CAPTURE(Seed);
      CrashLoad Load(Seed, PerSecond, 0);
      Load.run(absl::Minutes(5));
      CHECK(Load.m_soundRefused == 0);
    }
}
