#include <utility>
#include <vector>

#include "PlacementTrial.h"

namespace turmericdyke::bench {

namespace {

EngineCosts costs(std::int64_t Slots, double StepMillis, double ReadPerMilli,
                  std::int64_t Stride) {
  EngineCosts Value;
  Value.m_slots = Slots;
  Value.m_stepTime = absl::Milliseconds(StepMillis);
  Value.m_stepTimePerRequest = absl::Microseconds(94.7);
  Value.m_prefillTokensPerSecond = ReadPerMilli * 1000;
  Value.m_stepsPerPass = Stride;
  Value.m_prefillChunk = 2048;
  return Value;
}

TrialOptions caseOf(std::string Name, std::size_t Nodes, std::size_t Targets,
                    const EngineCosts &Costs, double Rate, double Prompt,
                    double ObjectiveMillis) {
  TrialOptions Value;
  Value.m_name = std::move(Name);
  Value.m_nodes = Nodes;
  Value.m_targets = Targets;
  Value.m_costs = Costs;
  Value.m_rate = Rate;
  Value.m_promptTokens = Prompt;
  Value.m_objective = absl::Milliseconds(ObjectiveMillis);
  return Value;
}

} // namespace

std::vector<TrialOptions> trialCases() {
  EngineCosts A = costs(34, 6.07, 46, 5);
  EngineCosts B = costs(30, 5.95, 50.7, 7);
  EngineCosts Earlier = costs(17, 7.8, 46, 5);
  std::vector<TrialOptions> Values;
  struct Load {
    std::string m_name;
    double m_factorA;
    double m_factorB;
  };
  for (const Load &L :
       {Load{"calm", 1, 1}, Load{"crest", 1.25, 1.5}, Load{"over", 1.4, 1.8}}) {
    const std::string &Name = L.m_name;
    double RateA = 348 * L.m_factorA;
    Values.push_back(
        caseOf("9 " + Name, 9, 15, Earlier, 97 * L.m_factorA, 979, 400));
    Values.back().m_outputTokens = 154;
    Values.push_back(caseOf("62 A " + Name, 62, 21, A, RateA, 674, 250));
    Values.push_back(
        caseOf("89 B " + Name, 89, 28, B, 381 * L.m_factorB, 674, 200));
    Values.push_back(
        caseOf("89 B large " + Name, 89, 6, B, 63 * L.m_factorB, 1690, 400));
    Values.push_back(caseOf("295 " + Name, 295, 21, A, RateA, 674, 250));
    Values.push_back(
        caseOf("62 uneven " + Name, 62, 21, A, RateA * 0.95, 674, 250));
    Values.back().m_slowTargets = 2;
    Values.push_back(caseOf("62 old " + Name, 62, 21, A, RateA, 674, 250));
    Values.back().m_feedDelay = absl::Milliseconds(100);
  }
  return Values;
}

} // namespace turmericdyke::bench
