#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "VirtualFleet.h"
#include "absl/random/distributions.h"

DEFINE_string(output, "text", "text or json");
DEFINE_int32(trials, 20, "trials of each loss, with seeds 1 to this number");
DEFINE_int64(held, 9, "replicas that the capacity held needs");
DEFINE_int64(wanted, 15, "replicas that the capacity limit could use");
DEFINE_bool(faults, true, "whether to measure losses");
DEFINE_bool(time, true, "whether to measure the planner's time");

using namespace turmericdyke;

namespace {

// 60 hosts in 3 failure domains and 6 fabric domains. With replicas of 4 hosts,
// the sizes leave remainders of 0, 1 and 2 hosts, so that the number of spares
// makes a difference.
const std::vector<int> DomainSizes = {12, 9, 10, 8, 13, 8};
constexpr std::int64_t HostsPerReplica = 4;

constexpr absl::Duration Window = absl::Minutes(10);
constexpr absl::Duration HostDowntime = absl::Minutes(5);

struct Setup {
  std::string m_name;
  FormationStrategy m_strategy;
  std::int64_t m_spares = 1;
};

/// Effects of a loss, measured over the ten minutes after it (an hour in the
/// random-hour scenario).
struct LossMeasurement {
  /// Time until as many replicas serve as before the loss; the length of the
  /// window if they never do.
  double m_recoverySeconds = 0;
  /// Missing replicas compared with before the loss, integrated over time, in
  /// replica-seconds.
  double m_downtime = 0;
  /// Time with fewer serving replicas than the capacity held needs.
  double m_belowHeldSeconds = 0;
  double m_strandedAcceleratorSeconds = 0;
  /// Serving replicas integrated over time, in replica-seconds.
  double m_served = 0;
  double m_seconds = 0;
};

struct Summary {
  LossMeasurement m_mean;
  double m_maxRecovery = 0;
  int m_unrecovered = 0;
};

VirtualFleet makeFleet(const Setup &Chosen, std::uint64_t Seed) {
  VirtualFleetOptions Options;
  Options.m_domainSizes = DomainSizes;
  PlannerOptions Settings;
  Settings.m_sparesPerDomain = Chosen.m_spares;
  VirtualFleet Fleet(Options, Settings, Chosen.m_strategy, Seed);
  Fleet.setPools({virtualPool("m", HostsPerReplica, FLAGS_held, FLAGS_wanted)});
  Fleet.run(absl::Minutes(15));
  return Fleet;
}

std::int64_t serving(const VirtualFleet &Fleet) {
  return Fleet.servingReplicas(Fleet.pools()[0].m_name);
}

/// Picks a random serving replica.
Assignment pickServingReplica(VirtualFleet &Fleet) {
  std::vector<Assignment> Serving;
  for (const auto &[Replica, Value] : Fleet.state().assignments())
    if (Fleet.serves(*Value))
      Serving.push_back(*Value);
  return Serving[absl::Uniform<std::size_t>(Fleet.random(), 0, Serving.size())];
}

std::size_t pickMember(VirtualFleet &Fleet, const Assignment &Value) {
  std::size_t Rank =
      absl::Uniform<std::size_t>(Fleet.random(), 0, Value.m_members.size());
  return Fleet.indexOf(Value.m_members[Rank].m_target);
}

void advanceWithReturns(VirtualFleet &Fleet, Instant &Return,
                        const std::vector<std::size_t> &Failed) {
  Fleet.step();
  if (Fleet.now() < Return)
    return;
  for (std::size_t Target : Failed)
    Fleet.restore(Target);
  Return = absl::InfiniteFuture();
}

LossMeasurement measure(VirtualFleet &Fleet, std::int64_t Before,
                        const std::vector<std::size_t> &Failed) {
  LossMeasurement Measured;
  const double Step = absl::ToDoubleSeconds(VirtualFleet::StepLength);
  Instant Start = Fleet.now();
  Instant Return = Start + HostDowntime;
  bool Recovered = false;
  while (Fleet.now() - Start < Window) {
    advanceWithReturns(Fleet, Return, Failed);
    std::int64_t Missing = std::max<std::int64_t>(0, Before - serving(Fleet));
    // The loss is detected only once the last announcements are outdated.
    bool Seen = Fleet.now() - Start > FreshnessBound;
    if (Seen && Missing == 0 && !Recovered) {
      Recovered = true;
      Measured.m_recoverySeconds = absl::ToDoubleSeconds(Fleet.now() - Start);
    }
    Measured.m_served += static_cast<double>(serving(Fleet)) * Step;
    Measured.m_seconds += Step;
    Measured.m_downtime += static_cast<double>(Missing) * Step;
    Measured.m_belowHeldSeconds += serving(Fleet) < FLAGS_held ? Step : 0;
    Measured.m_strandedAcceleratorSeconds +=
        static_cast<double>(Fleet.strandedAccelerators()) * Step;
  }
  if (!Recovered)
    Measured.m_recoverySeconds = absl::ToDoubleSeconds(Window);
  return Measured;
}

LossMeasurement loseOneHost(VirtualFleet &Fleet) {
  std::int64_t Before = serving(Fleet);
  std::size_t Target = pickMember(Fleet, pickServingReplica(Fleet));
  Fleet.fail(Target);
  return measure(Fleet, Before, {Target});
}

/// Loses a second host in the same fabric domain right after the first repair.
LossMeasurement loseSecondHost(VirtualFleet &Fleet) {
  std::int64_t Before = serving(Fleet);
  Assignment Chosen = pickServingReplica(Fleet);
  std::size_t First = pickMember(Fleet, Chosen);
  Fleet.fail(First);
  Fleet.run(absl::Seconds(5));
  Fleet.runUntil([&] { return serving(Fleet) >= Before; }, absl::Minutes(2));
  auto Repaired = Fleet.state().assignment(Chosen.m_replica);
  Assignment Next = Repaired && Fleet.serves(*Repaired)
                        ? *Repaired
                        : pickServingReplica(Fleet);
  std::size_t Second = pickMember(Fleet, Next);
  Fleet.fail(Second);
  return measure(Fleet, Before, {First, Second});
}

LossMeasurement loseFabricDomain(VirtualFleet &Fleet) {
  std::int64_t Before = serving(Fleet);
  FabricDomainId Domain = pickServingReplica(Fleet).m_fabricDomain;
  std::vector<std::size_t> Failed;
  for (std::size_t Target = 0; Target < Fleet.targets().size(); ++Target)
    if (Fleet.targets()[Target].m_actual.m_fabricDomain == Domain)
      Failed.push_back(Target);
  for (std::size_t Target : Failed)
    Fleet.fail(Target);
  return measure(Fleet, Before, Failed);
}

/// Runs for an hour in which a host fails every 90 s on average and returns
/// after 5 minutes.
LossMeasurement loseAtRandom(VirtualFleet &Fleet) {
  LossMeasurement Measured;
  const double Step = absl::ToDoubleSeconds(VirtualFleet::StepLength);
  std::int64_t Before = serving(Fleet);
  std::vector<std::pair<Instant, std::size_t>> Returns;
  for (Instant End = Fleet.now() + absl::Hours(1); Fleet.now() < End;) {
    Fleet.step();
    if (absl::Bernoulli(Fleet.random(), Step / 90)) {
      std::size_t Target =
          absl::Uniform<std::size_t>(Fleet.random(), 0, Fleet.targets().size());
      Fleet.fail(Target);
      Returns.emplace_back(Fleet.now() + HostDowntime, Target);
    }
    while (!Returns.empty() && Returns.front().first <= Fleet.now()) {
      Fleet.restore(Returns.front().second);
      Returns.erase(Returns.begin());
    }
    std::int64_t Now = serving(Fleet);
    Measured.m_served += static_cast<double>(Now) * Step;
    Measured.m_seconds += Step;
    Measured.m_downtime +=
        static_cast<double>(std::max<std::int64_t>(0, Before - Now)) * Step;
    Measured.m_belowHeldSeconds += Now < FLAGS_held ? Step : 0;
    Measured.m_strandedAcceleratorSeconds +=
        static_cast<double>(Fleet.strandedAccelerators()) * Step;
  }
  return Measured;
}

struct Scenario {
  std::string m_name;
  LossMeasurement (*m_run)(VirtualFleet &);
};

Summary summarize(const std::vector<LossMeasurement> &Losses) {
  Summary Result;
  const double Share = 1.0 / static_cast<double>(Losses.size());
  for (const LossMeasurement &Each : Losses) {
    Result.m_mean.m_recoverySeconds += Each.m_recoverySeconds * Share;
    Result.m_mean.m_served += Each.m_served / Each.m_seconds * Share;
    Result.m_mean.m_downtime += Each.m_downtime * Share;
    Result.m_mean.m_belowHeldSeconds += Each.m_belowHeldSeconds * Share;
    Result.m_mean.m_strandedAcceleratorSeconds +=
        Each.m_strandedAcceleratorSeconds * Share;
    Result.m_maxRecovery =
        std::max(Result.m_maxRecovery, Each.m_recoverySeconds);
    Result.m_unrecovered +=
        Each.m_recoverySeconds >= absl::ToDoubleSeconds(Window);
  }
  return Result;
}

nlohmann::json measureLosses(const Setup &Chosen, const Scenario &Kind) {
  std::vector<LossMeasurement> Losses;
  double Before = 0;
  for (int Trial = 1; Trial <= FLAGS_trials; ++Trial) {
    VirtualFleet Fleet = makeFleet(Chosen, static_cast<std::uint64_t>(Trial));
    Before += static_cast<double>(serving(Fleet)) / FLAGS_trials;
    Losses.push_back(Kind.m_run(Fleet));
  }
  Summary Result = summarize(Losses);
  return {
      {"loss", Kind.m_name},
      {"policy", Chosen.m_name},
      {"spares", Chosen.m_spares},
      {"held", FLAGS_held},
      {"wanted", FLAGS_wanted},
      {"replicas_before", Before},
      {"recovery_s", Result.m_mean.m_recoverySeconds},
      {"max_recovery_s", Result.m_maxRecovery},
      {"unrecovered", Result.m_unrecovered},
      {"downtime_replica_s", Result.m_mean.m_downtime},
      {"serving_mean", Result.m_mean.m_served},
      {"below_held_s", Result.m_mean.m_belowHeldSeconds},
      {"stranded_accelerator_s", Result.m_mean.m_strandedAcceleratorSeconds}};
}

/// Measures the time of `Planner::plan` in wall-clock time: the median in a
/// stable fleet, and the maxima while replicas form and in the 20 s after 1 %
/// of the hosts were lost.
nlohmann::json measureTime(int Targets) {
  VirtualFleetOptions Options;
  Options.m_domainSizes.assign(static_cast<std::size_t>(Targets / 20), 20);
  Options.m_storeRate = 1e9;
  Options.m_hostRate = 80;
  PlannerOptions Settings;
  Settings.m_maxLoads = 1'000'000;
  VirtualFleet Fleet(Options, Settings, defaultStrategy(), 1);
  // One pool per 20 replicas of 8 hosts each. The capacity held needs 80 % of
  // the replicas.
  std::int64_t Replicas = Targets / 20 * std::int64_t{2};
  std::vector<PoolView> Pools;
  for (std::int64_t First = 0; First < Replicas; First += 20) {
    std::int64_t Count = std::min<std::int64_t>(20, Replicas - First);
    Pools.push_back(virtualPool(fmt::format("m{}", First), 8,
                                std::max<std::int64_t>(1, Count * 8 / 10),
                                Count));
  }
  Fleet.setPools(std::move(Pools));
  std::vector<double> Millis;
  Fleet.setPlanCall(
      [&](Planner &Called, Instant Now, const PlannerInput &Input) {
        auto Start = std::chrono::steady_clock::now();
        Plan Made = Called.plan(Now, Input);
        std::chrono::duration<double, std::milli> Took =
            std::chrono::steady_clock::now() - Start;
        Millis.push_back(Took.count());
        return Made;
      });
  Fleet.run(absl::Minutes(1));
  double Forming = *std::max_element(Millis.begin(), Millis.end());
  Millis.clear();
  Fleet.run(absl::Seconds(20));
  std::sort(Millis.begin(), Millis.end());
  double Settled = Millis[Millis.size() / 2];
  Millis.clear();
  for (int Lost = 0; Lost < std::max(1, Targets / 100); ++Lost)
    Fleet.fail(
        absl::Uniform<std::size_t>(Fleet.random(), 0, Fleet.targets().size()));
  Fleet.run(absl::Seconds(20));
  double AfterLoss = *std::max_element(Millis.begin(), Millis.end());
  return {{"targets", Targets},
          {"replicas", Fleet.state().assignments().size()},
          {"plan_settled_ms", Settled},
          {"plan_settled_us_per_target", Settled * 1000 / Targets},
          {"plan_forming_max_ms", Forming},
          {"plan_after_loss_max_ms", AfterLoss}};
}

void print(const nlohmann::json &Row) {
  if (FLAGS_output == "json")
    return;
  std::string Line;
  for (const auto &Entry : Row.items())
    Line += Entry.value().is_number_float()
                ? fmt::format("{}={:.3f} ", Entry.key(),
                              Entry.value().get<double>())
                : fmt::format("{}={} ", Entry.key(), Entry.value().dump());
  fmt::print("{}\n", Line);
  std::fflush(stdout);
}

} // namespace

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  const std::vector<Setup> Setups = {
      {"keep-survivors", defaultStrategy(), 0},
      {"keep-survivors", defaultStrategy(), 1},
      {"keep-survivors", defaultStrategy(), 2},
      {"first-fit", firstFitStrategy(), 1},
      {"rebuild-whole", rebuildWholeStrategy(), 1}};
  const std::vector<Scenario> Scenarios = {{"one-host", loseOneHost},
                                           {"second-host", loseSecondHost},
                                           {"fabric-domain", loseFabricDomain},
                                           {"random-hour", loseAtRandom}};
  nlohmann::json Report = {{"losses", nlohmann::json::array()},
                           {"time", nlohmann::json::array()}};
  if (FLAGS_faults)
    for (const Scenario &Kind : Scenarios)
      for (const Setup &Chosen : Setups) {
        Report["losses"].push_back(measureLosses(Chosen, Kind));
        print(Report["losses"].back());
      }
  if (FLAGS_time)
    for (int Targets : {60, 600, 2500, 10000}) {
      Report["time"].push_back(measureTime(Targets));
      print(Report["time"].back());
    }
  if (FLAGS_output == "json")
    fmt::print("{}\n", Report.dump(2));
  return 0;
}
