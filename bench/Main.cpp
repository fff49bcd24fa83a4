#include <algorithm>
#include <cstdio>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Simulation.h"

DEFINE_uint64(seed, 20261204, "seed of the arrivals and of the decisions");
DEFINE_string(workload, "all", "quishpe, chalkworks or all");
DEFINE_string(output, "text", "text or json");
DEFINE_double(seconds, 120, "virtual time of each row");
DEFINE_string(row, "", "run only rows whose name contains this text");
DEFINE_bool(trace, false, "write the state each second to standard error");

namespace turmericdyke::bench {

namespace {

struct PolicyName {
  Policy m_policy;
  const char *m_name;
};

constexpr PolicyName Policies[] = {
    {Policy::RoundRobin, "round robin"},
    {Policy::LeastOutstanding, "least outstanding"},
    {Policy::TwoRandomChoices, "two random choices"},
    {Policy::Weighted, "weighted"}};

Scenario scenario(std::string Name, Policy P, bool Admission,
                  double LongShare) {
  Scenario S;
  S.m_name = std::move(Name);
  S.m_policy = P;
  S.m_admission = Admission;
  S.m_longShare = LongShare;
  S.m_seconds = FLAGS_seconds;
  S.m_seed = FLAGS_seed;
  S.m_trace = FLAGS_trace;
  return S;
}

void addPolicies(std::vector<Scenario> &All) {
  for (double Long : {0.0, 0.05, 0.2})
    for (bool Admission : {false, true})
      for (const PolicyName &P : Policies)
        All.push_back(
            scenario(fmt::format("{:.0f}% long, {}, {}", 100 * Long,
                                 Admission ? "admission" : "FIFO", P.m_name),
                     P.m_policy, Admission, Long));
}

/// The same fault under the baseline, the baseline with admission, and the
/// product.
void addFault(std::vector<Scenario> &All, const char *Name,
              void (*Apply)(Scenario &)) {
  Scenario Rows[] = {
      scenario(fmt::format("{}, FIFO, two random choices", Name),
               Policy::TwoRandomChoices, false, 0.05),
      scenario(fmt::format("{}, admission, two random choices", Name),
               Policy::TwoRandomChoices, true, 0.05),
      scenario(fmt::format("{}, admission, weighted", Name), Policy::Weighted,
               true, 0.05)};
  for (Scenario &S : Rows) {
    Apply(S);
    All.push_back(S);
  }
}

void addControllers(std::vector<Scenario> &All) {
  for (double Long : {0.05, 0.2})
    for (auto [C, Name] : {std::pair{Controller::Fixed, "fixed"},
                           std::pair{Controller::Gradient, "gradient"},
                           std::pair{Controller::Backlog, "backlog"}}) {
      Scenario S = scenario(
          fmt::format("{:.0f}% long, concurrency {}", 100 * Long, Name),
          Policy::Weighted, true, Long);
      S.m_controller = C;
      All.push_back(S);
    }
}

void addQuotas(std::vector<Scenario> &All) {
  for (auto [B, Name] : {std::pair{Balancer::Even, "even balancer"},
                         std::pair{Balancer::Skewed, "skewed balancer"}})
    for (bool Quotas : {false, true}) {
      Scenario S =
          scenario(fmt::format("{}, quotas {}", Name, Quotas ? "on" : "off"),
                   Policy::Weighted, true, 0.05);
      S.m_balancer = B;
      S.m_quotas = Quotas;
      All.push_back(S);
    }
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> All;
  addPolicies(All);
  addFault(All, "straggler", [](Scenario &S) { S.m_straggler = true; });
  addFault(All, "domain lost", [](Scenario &S) { S.m_domainLoss = true; });
  addControllers(All);
  addQuotas(All);
  return All;
}

double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  auto Place = Values.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Values.begin(), Place, Values.end());
  return *Place;
}

double part(std::int64_t Some, std::int64_t All) {
  return All == 0 ? 0 : static_cast<double>(Some) / static_cast<double>(All);
}

void print(const Workload &W, const Scenario &S, Outcome O) {
  double Goodput = static_cast<double>(O.m_good) / O.m_seconds;
  double P50 = percentile(O.m_shortFirstToken, 0.5);
  double P95 = percentile(O.m_shortFirstToken, 0.95);
  double P99 = percentile(O.m_shortFirstToken, 0.99);
  double Slowdown50 = percentile(O.m_longSlowdown, 0.5);
  double Slowdown95 = percentile(O.m_longSlowdown, 0.95);
  const char *Format =
      FLAGS_output == "json"
          ? "{{\"workload\":\"{}\",\"row\":\"{}\",\"goodput_per_s\":{:.2f},"
            "\"good\":{:.4f},\"refused\":{:.4f},\"hung_up\":{:.4f},"
            "\"modest_good\":{:.4f},\"first_token_p50_s\":{:.3f},"
            "\"first_token_p95_s\":{:.3f},\"first_token_p99_s\":{:.3f},"
            "\"long_slowdown_p50\":{:.2f},\"long_slowdown_p95\":{:.2f},"
            "\"yields\":{}}}\n"
          : "{:10} {:42} {:7.2f} {:6.3f} {:7.3f} {:7.3f} {:7.3f} {:6.2f} "
            "{:6.2f} {:6.2f} {:6.2f} {:6.2f} {:6}\n";
  fmt::print(fmt::runtime(Format), W.m_name, S.m_name, Goodput,
             part(O.m_good, O.m_offered), part(O.m_refused, O.m_offered),
             part(O.m_late, O.m_offered),
             part(O.m_modestGood, O.m_modestOffered), P50, P95, P99, Slowdown50,
             Slowdown95, O.m_yields);
  std::fflush(stdout);
}

void printHeader() {
  if (FLAGS_output == "json")
    return;
  fmt::print("seed {}, {} s per row; first-token times in s\n"
             "{:10} {:42} {:>7} {:>6} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} "
             "{:>6} {:>6} {:>6}\n",
             FLAGS_seed, FLAGS_seconds, "workload", "row", "good/s", "good",
             "refused", "hung up", "modest", "p50", "p95", "p99", "slow50",
             "slow95", "yields");
}

} // namespace

int runAll() {
  bool IsKnown = FLAGS_workload == "all";
  for (const Workload &W : workloads())
    IsKnown = IsKnown || W.m_name == FLAGS_workload;
  if (!IsKnown || (FLAGS_output != "text" && FLAGS_output != "json")) {
    fmt::print(stderr, "--workload is quishpe, chalkworks or all; --output is "
                       "text or json\n");
    return 2;
  }
  printHeader();
  for (const Workload &W : workloads())
    for (const Scenario &S : scenarios()) {
      bool IsWanted = FLAGS_workload == "all" || FLAGS_workload == W.m_name;
      bool Matches = S.m_name.find(FLAGS_row) != std::string::npos;
      if (IsWanted && Matches)
        print(W, S, Simulation(W, S).run());
    }
  return 0;
}

} // namespace turmericdyke::bench

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return turmericdyke::bench::runAll();
}
