#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "absl/random/distributions.h"
#include "turmericdyke/Feed"

using namespace turmericdyke;

namespace {

const Instant Start = absl::UnixEpoch() + absl::Hours(1);
/// What the platform allows: sends later than this after the third crash.
constexpr absl::Duration StableWindow = absl::Seconds(3);
constexpr int MaxLateSends = 3;

bool neverRefused(SuspectKey) { return false; }

struct LoadOptions {
  double m_perSecond = 100;
  /// Crashes of single targets, and of a third of all at once and once more
  /// while their streams are resumed.
  absl::Duration m_betweenCrashes = absl::InfiniteDuration();
  absl::Duration m_betweenDomainCrashes = absl::InfiniteDuration();
  /// Part of the sound requests that are equal to others.
  double m_equal = 0;
  /// Whether the system continues a stream at a second target.
  bool m_resumable = true;
  /// The event at which the deadly request crashes its targets; 0 for none.
  std::uint64_t m_deadlyEvent = 0;
  absl::Duration m_betweenDeadly = absl::Seconds(4);
  /// Part of the requests with a part in their prompts that crashes targets at
  /// the first event.
  double m_deadlyPart = 0;
};

/// Streams of one route at many targets in virtual time, with the entry nodes
/// and the leader that watch them. Targets crash with all streams that run
/// there, and callers repeat what broke off.
class StreamLoad {
public:
  StreamLoad(unsigned Seed, LoadOptions Options)
      : m_options(Options), m_random(Seed), m_watches(Nodes) {
    m_nextCrash = m_now + m_options.m_betweenCrashes;
    m_nextDomainCrash = m_now + m_options.m_betweenDomainCrashes;
  }

  void run(absl::Duration Length) {
    for (Instant End = m_now + Length; m_now < End;) {
      m_now += Tick;
      tick();
    }
  }

  int m_served = 0;
  int m_soundRefused = 0;
  int m_deadlyCrashes = 0;
  int m_deadlySentLate = 0;
  bool m_deadlyRefused = false;

private:
  static constexpr SuspectKey DeadlyPart = 3;
  static constexpr absl::Duration Tick = absl::Milliseconds(10);
  static constexpr std::size_t Nodes = 9;
  static constexpr int Targets = 15;
  static constexpr int DomainTargets = 5;
  static constexpr int MaxAttempts = 2;
  static constexpr int CallerRepeats = 1;
  static constexpr std::uint64_t Events = 34;
  static constexpr absl::Duration EventInterval = absl::Milliseconds(40);

  struct Stream {
    std::size_t m_node = 0;
    bool m_deadly = false;
    /// The event at which it crashes its target; 0 for none.
    std::uint64_t m_crashAt = 0;
    std::vector<SuspectKey> m_keys;
    int m_repeats = 0;
    int m_attempts = 0;
    int m_target = 0;
    Instant m_begins;
    /// Events of earlier attempts, and of this one.
    std::uint64_t m_before = 0;
    std::uint64_t m_events = 0;
    bool m_ended = false;
  };
  struct Repeat {
    Instant m_at;
    Stream m_stream;
  };

  void tick() {
    if (absl::Bernoulli(m_random, m_options.m_perSecond / 100))
      arrive(false);
    if (m_options.m_deadlyEvent > 0 && m_now >= m_nextDeadly) {
      m_nextDeadly = m_now + m_options.m_betweenDeadly;
      arrive(true);
    }
    crashSome();
    for (std::size_t At = 0; At < m_running.size(); ++At)
      advance(At);
    std::erase_if(m_running, [](const Stream &Value) { return Value.m_ended; });
    for (std::size_t At = 0; At < m_repeats.size(); ++At)
      if (m_now >= m_repeats[At].m_at)
        begin(m_repeats[At].m_stream);
    std::erase_if(m_repeats,
                  [this](const Repeat &Value) { return m_now >= Value.m_at; });
    if (++m_ticks % 10 == 0)
      exchange();
  }

  void crashSome() {
    if (m_now >= m_nextCrash) {
      m_nextCrash = m_now + m_options.m_betweenCrashes;
      crashTarget(absl::Uniform(m_random, 0, Targets));
    }
    if (m_now < m_nextDomainCrash)
      return;
    m_secondCrash = !m_secondCrash;
    m_nextDomainCrash =
        m_now +
        (m_secondCrash ? absl::Seconds(1) : m_options.m_betweenDomainCrashes);
    int First = DomainTargets * absl::Uniform(m_random, 0, 3);
    for (int Target = First; Target < First + DomainTargets; ++Target)
      crashTarget(Target);
  }

  void arrive(bool Deadly) {
    Stream New;
    New.m_deadly = Deadly;
    bool Equal = absl::Bernoulli(m_random, m_options.m_equal);
    SuspectKey Exact = Equal ? absl::Uniform<SuspectKey>(m_random, 100, 103)
                             : 10'000 + ++m_requests;
    New.m_keys = {1, Deadly ? 2 : Exact};
    New.m_crashAt = Deadly ? m_options.m_deadlyEvent : 0;
    if (!Deadly && absl::Bernoulli(m_random, m_options.m_deadlyPart)) {
      New.m_keys = {1, DeadlyPart, Exact};
      New.m_crashAt = 1;
    }
    begin(New);
  }

  void begin(Stream New) {
    New.m_node = absl::Uniform<std::size_t>(m_random, 0, Nodes);
    New.m_attempts = 0;
    New.m_before = 0;
    if (send(New))
      m_running.push_back(std::move(New));
  }

  bool send(Stream &Value) {
    if (m_watches[Value.m_node].isRefused(Value.m_keys)) {
      m_soundRefused += Value.m_crashAt > 0 ? 0 : 1;
      m_deadlyRefused = m_deadlyRefused || Value.m_deadly;
      return false;
    }
    ++Value.m_attempts;
    Value.m_target = absl::Uniform(m_random, 0, Targets);
    Value.m_begins =
        m_now + absl::Milliseconds(absl::Uniform(m_random, 150, 600));
    Value.m_events = 0;
    m_deadlySentLate +=
        Value.m_deadly && m_now > m_thirdCrash + StableWindow ? 1 : 0;
    return true;
  }

  void advance(std::size_t At) {
    Stream &Value = m_running[At];
    if (Value.m_ended || m_now < Value.m_begins)
      return;
    auto Made = static_cast<std::uint64_t>(
        absl::ToDoubleSeconds(m_now - Value.m_begins) /
            absl::ToDoubleSeconds(EventInterval) +
        1);
    if (Made == Value.m_events)
      return;
    std::uint64_t Next = Value.m_before + Made;
    if (Value.m_crashAt > 0 && Next >= Value.m_crashAt) {
      if (Value.m_deadly && ++m_deadlyCrashes == 3)
        m_thirdCrash = m_now;
      return crashTarget(Value.m_target);
    }
    Value.m_events = Made;
    SuspectWatch &Watch = m_watches[Value.m_node];
    if (Next >= Events) {
      Value.m_ended = true;
      ++m_served;
      return Watch.requestProgressed(m_now, Value.m_keys,
                                     RequestProgress::whole());
    }
    if (Made >= EventsPastCrash)
      Watch.requestProgressed(m_now, Value.m_keys, {Made, Next});
  }

  /// All attempts at the target break off.
  void crashTarget(int Target) {
    ++m_generation;
    for (Stream &Value : m_running)
      if (!Value.m_ended && Value.m_target == Target)
        breakOff(Value);
  }

  void breakOff(Stream &Value) {
    CrashReport Report;
    Report.m_target = TargetId(std::to_string(Value.m_target));
    Report.m_generation = m_generation;
    Report.m_began = m_now >= Value.m_begins;
    Report.m_events = Value.m_before + Value.m_events;
    Report.m_pastStart = Value.m_events >= EventsPastCrash;
    Report.m_keys = Value.m_keys;
    if (Report.m_pastStart)
      Report.m_keys = {Value.m_keys.back()};
    m_watches[Value.m_node].attemptCrashed(m_now, std::move(Report));
    Value.m_before += Value.m_events;
    bool Resumes = m_options.m_resumable || Value.m_before == 0;
    Value.m_ended = !Resumes || Value.m_attempts == MaxAttempts || !send(Value);
    if (!Value.m_ended || Value.m_deadly || Value.m_repeats == CallerRepeats)
      return;
    ++Value.m_repeats;
    m_repeats.push_back({m_now + absl::Milliseconds(500), Value});
    m_repeats.back().m_stream.m_ended = false;
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

  LoadOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now = Start;
  int m_ticks = 0;
  std::uint64_t m_generation = 0;
  SuspectKey m_requests = 0;
  Instant m_nextCrash;
  Instant m_nextDomainCrash;
  bool m_secondCrash = false;
  Instant m_nextDeadly = Start + absl::Seconds(5);
  Instant m_thirdCrash = absl::InfiniteFuture();
  std::vector<SuspectWatch> m_watches;
  std::vector<Stream> m_running;
  std::vector<Repeat> m_repeats;
  CrashAttribution m_crashes;
  SuspectLists m_lists;
};

CrashReport lateCrash(const std::string &Target, SuspectKey Key,
                      std::uint64_t Events) {
  CrashReport Report;
  Report.m_target = TargetId(Target);
  Report.m_generation = 1;
  Report.m_began = true;
  Report.m_keys = {Key};
  Report.m_events = Events;
  Report.m_pastStart = true;
  return Report;
}

} // namespace

// Guards against a request that is never refused because it crashes its targets
// after the start of its stream (review/9): what was relayed before counted as
// proof that the request is sound.
TEST_CASE("a request that crashes its targets is refused in time, wherever in "
          "its stream") {
  for (std::uint64_t Event : {1, 2, 3, 6, 20, 33})
    for (bool Resumable : {true, false})
      for (int Seconds : {1, 4, 60})
        for (unsigned Seed = 1; Seed <= 4; ++Seed) {
          CAPTURE(Event);
          CAPTURE(Resumable);
          CAPTURE(Seconds);
          CAPTURE(Seed);
          LoadOptions Options;
          Options.m_perSecond = 20;
          Options.m_deadlyEvent = Event;
          Options.m_resumable = Resumable;
          Options.m_betweenDeadly = absl::Seconds(Seconds);
          StreamLoad Load(Seed, Options);
          Load.run(Options.m_betweenDeadly * 8 + absl::Seconds(10));
          CHECK(Load.m_deadlyRefused);
          CHECK(Load.m_deadlySentLate <= MaxLateSends);
          CHECK(Load.m_soundRefused == 0);
        }
}

// Guards against evidence that ordinary crashes push out, and against sound
// streams that are refused because they ran where targets crashed.
TEST_CASE("beside many ordinary crashes a deadly request is refused in time, "
          "and no sound one is") {
  for (std::uint64_t Event : {0, 1, 6, 33})
    for (bool Resumable : {true, false})
      for (unsigned Seed = 1; Seed <= 3; ++Seed) {
        CAPTURE(Event);
        CAPTURE(Resumable);
        CAPTURE(Seed);
        LoadOptions Options;
        Options.m_deadlyEvent = Event;
        Options.m_resumable = Resumable;
        Options.m_betweenDeadly = absl::Seconds(15);
        Options.m_betweenCrashes = absl::Milliseconds(2300);
        Options.m_betweenDomainCrashes = absl::Seconds(20);
        Options.m_equal = 0.2;
        StreamLoad Load(Seed, Options);
        Load.run(absl::Minutes(4));
        MESSAGE("event " << Event << " resumable " << Resumable << " seed "
                         << Seed << ": served " << Load.m_served
                         << ", sound refused " << Load.m_soundRefused
                         << ", deadly crashes " << Load.m_deadlyCrashes
                         << ", sent late " << Load.m_deadlySentLate);
        CHECK(Load.m_deadlyRefused == (Event > 0));
        CHECK(Load.m_deadlySentLate <= MaxLateSends);
        CHECK(Load.m_soundRefused == 0);
      }
}

// Guards against sound streams that are refused because they ran where a deadly
// part of other prompts crashed targets.
TEST_CASE("beside a deadly part no sound stream is refused") {
  for (double Share : {0.02, 0.1, 0.3})
    for (bool Resumable : {true, false})
      for (unsigned Seed = 1; Seed <= 5; ++Seed) {
        CAPTURE(Share);
        CAPTURE(Resumable);
        CAPTURE(Seed);
        LoadOptions Options;
        Options.m_deadlyPart = Share;
        Options.m_resumable = Resumable;
        StreamLoad Load(Seed, Options);
        Load.run(absl::Seconds(30));
        CHECK(Load.m_served > 0);
        CHECK(Load.m_soundRefused == 0);
      }
}

// Guards against crashes behind the start of a stream that an earlier build
// takes for crashes at the start, and against a key without a place, as it
// reports it, that clears nothing.
TEST_CASE("a report crosses builds that know no places in streams") {
  FeedRequest Sent;
  Sent.m_node = NodeId("entry");
  Sent.m_crashes = {lateCrash("a", 7, 6), lateCrash("b", 8, 1)};
  Sent.m_crashes[1].m_pastStart = false;
  Sent.m_progress = {{8, KeyProgress::Whole}, {9, 5}};
  nlohmann::json Wire = toJson(Sent);
  CHECK(Wire["crashes"].size() == 1);
  CHECK(Wire["sound_keys"] == nlohmann::json({8, 9}));
  FeedRequest Read = parseFeedRequest(Wire).value();
  CHECK(Read.m_progress == Sent.m_progress);
  REQUIRE(Read.m_crashes.size() == 2);
  for (const CrashReport &Each : Read.m_crashes) {
    CHECK(Each.m_pastStart == (Each.m_keys.front() == 7));
    CHECK(Each.m_events == (Each.m_pastStart ? 6 : 1));
  }
  Wire.erase("sound_events");
  Wire.erase("late_crashes");
  Wire["crashes"][0].erase("e");
  Read = parseFeedRequest(Wire).value();
  CHECK(Read.m_progress ==
        std::vector<KeyProgress>{{8, EventsPastCrash}, {9, EventsPastCrash}});
  REQUIRE(Read.m_crashes.size() == 1);
  CrashAttribution Crashes;
  Crashes.record(Start, Read.m_crashes.front());
  Crashes.markProgress(Read.m_progress.front());
  CHECK(Crashes.empty());
}

TEST_CASE("progress up to a crash does not clear it, progress beyond it and a "
          "whole answer do") {
  constexpr SuspectKey Key = 7;
  for (std::uint64_t Events : {std::uint64_t{6}, std::uint64_t{7},
                               std::uint64_t{8}, KeyProgress::Whole}) {
    CAPTURE(Events);
    CrashAttribution Crashes;
    Crashes.record(Start, lateCrash("a", Key, 6));
    Crashes.markProgress({Key, Events});
    CHECK(Crashes.empty() == (Events >= 6 + EventsPastCrash));
  }
}

// Guards against an accident of many streams at once that hides the one crash
// report of a request that waited there.
TEST_CASE("streams past their start do not excuse a request that waited") {
  CrashAttribution Crashes;
  CrashReport Waiting = lateCrash("a", 8, 0);
  Waiting.m_began = Waiting.m_pastStart = false;
  Crashes.record(Start, Waiting);
  Crashes.record(Start, lateCrash("a", 7, 6));
  CHECK(Crashes.suspects() == std::vector<SuspectKey>{8, 7});
}

// Guards against a deadly request whose crashes are hours of ordinary ones
// apart.
TEST_CASE("evidence of a request that crashed twice outlives many reports of "
          "streams that did once") {
  CrashAttribution Crashes;
  Instant Now = Start;
  for (int Crash = 0; Crash < 5; ++Crash) {
    Crashes.record(Now, lateCrash("t" + std::to_string(Crash), 7, 6));
    for (SuspectKey Other = 0; Other < 2000; ++Other)
      Crashes.record(Now += absl::Milliseconds(1),
                     lateCrash("o", 1000 + 5000 * (1 + Crash) + Other, 9));
    // The first report is like all others until there is a second one.
    if (Crash == 0)
      Crashes.record(Now, lateCrash("t", 7, 6));
  }
  (void)Crashes.judge(Now, neverRefused);
  std::vector<CrashAttribution::Verdict> Verdicts =
      Crashes.judge(Now + absl::Seconds(1), neverRefused);
  REQUIRE(Verdicts.size() == 1);
  CHECK(Verdicts.front().m_key == 7);
}
