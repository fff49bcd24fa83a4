#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "PlacementTrial.h"
#include "TrialChoosers.h"

DEFINE_int32(seeds, 2, "trials of each case");
DEFINE_int32(seconds, 20, "virtual time of a trial, in seconds");
DEFINE_string(only, "", "part of the names of the cases to run");

using namespace turmericdyke;
using namespace turmericdyke::bench;

namespace {

Chooser interpreted(PlacementOptions Settings) {
  return [Settings](absl::Span<const PlacementOption> Options,
                    absl::BitGenRef Random) {
    return place(Options, Settings, Random);
  };
}

std::vector<std::pair<std::string, Chooser>> choosers() {
  std::vector<std::pair<std::string, Chooser>> Values;
  Values.emplace_back("weighted", weighted({}));
  WeightedOptions Mild;
  Mild.m_ownWeight = 1;
  Values.emplace_back("weighted own 1", weighted(Mild));
  Mild.m_reportHalfLife = absl::Seconds(1);
  Values.emplace_back("weighted own 1, 1 s", weighted(Mild));
  Values.emplace_back("random", leastOf(1));
  Values.emplace_back("least of 2", leastOf(2));
  Values.emplace_back("interpreted", interpreted({}));
  for (double Weight : {0.05, 0.15, 0.5, 1.0}) {
    PlacementOptions Settings;
    Settings.m_remoteWeight = Weight;
    Values.emplace_back(fmt::format("interpreted, remote {}", Weight),
                        interpreted(Settings));
  }
  for (std::size_t Draws : {1, 3, 16}) {
    PlacementOptions Settings;
    Settings.m_draws = Draws;
    Values.emplace_back(fmt::format("interpreted, {} draws", Draws),
                        interpreted(Settings));
  }
  for (int Ages : {1, 2, 6}) {
    PlacementOptions Settings;
    Settings.m_levelingAges = Ages;
    Values.emplace_back(fmt::format("interpreted, {} ages", Ages),
                        interpreted(Settings));
  }
  for (int Delay : {0, 100, 300}) {
    PlacementOptions Settings;
    Settings.m_reportDelay = absl::Milliseconds(Delay);
    Values.emplace_back(fmt::format("interpreted, {} ms", Delay),
                        interpreted(Settings));
  }
  return Values;
}

} // namespace

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  fmt::print("{:24} {:22} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6}\n", "case",
             "decision", "max/mean", "idle", "in time", "refused", "local",
             "age ms");
  for (TrialOptions Options : trialCases()) {
    Options.m_duration = absl::Seconds(FLAGS_seconds);
    if (Options.m_name.find(FLAGS_only) == std::string::npos)
      continue;
    for (const auto &[Name, Choose] : choosers()) {
      TrialResult Sum;
      for (int Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
        TrialResult One =
            runTrial(Options, Choose, static_cast<std::uint64_t>(Seed));
        double Part = 1.0 / FLAGS_seeds;
        Sum.m_maxToMean += Part * One.m_maxToMean;
        Sum.m_idleWhileQueued += Part * One.m_idleWhileQueued;
        Sum.m_inTime += Part * One.m_inTime;
        Sum.m_refused += Part * One.m_refused;
        Sum.m_local += Part * One.m_local;
        Sum.m_ageMillis += Part * One.m_ageMillis;
      }
      fmt::print(
          "{:24} {:22} {:8.3f} {:8.4f} {:8.3f} {:8.3f} {:6.2f} {:6.0f}\n",
          Options.m_name, Name, Sum.m_maxToMean, Sum.m_idleWhileQueued,
          Sum.m_inTime, Sum.m_refused, Sum.m_local, Sum.m_ageMillis);
    }
  }
  return 0;
}
