#pragma once

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Engine.h"
#include "turmericdyke/Admission"

namespace turmericdyke::bench {

enum class Policy { RoundRobin, LeastOutstanding, TwoRandomChoices, Weighted };
enum class Controller { Fixed, Gradient, Backlog };
enum class Balancer { Even, Skewed };

/// One row of the table.
struct Scenario {
  std::string m_name;
  Policy m_policy = Policy::Weighted;
  /// Without admission everything goes to the engines' own queues at once.
  bool m_admission = true;
  double m_longShare = 0.05;
  bool m_straggler = false;
  bool m_domainLoss = false;
  Balancer m_balancer = Balancer::Even;
  Controller m_controller = Controller::Backlog;
  /// Without quotas each node has an equal, fixed part of all limits.
  bool m_quotas = true;
  double m_seconds = 60;
  std::uint64_t m_seed = 1;
  /// Writes the decisions of one second after another to standard error.
  bool m_trace = false;
};

struct Outcome {
  double m_seconds = 0;
  std::int64_t m_offered = 0;
  std::int64_t m_good = 0;
  std::int64_t m_refused = 0;
  /// Callers that hung up without a first token.
  std::int64_t m_late = 0;
  std::int64_t m_lost = 0;
  std::int64_t m_yields = 0;
  /// Offered and good requests of customers that stay within their capacity.
  std::int64_t m_modestOffered = 0;
  std::int64_t m_modestGood = 0;
  std::vector<double> m_shortFirstToken;
  std::vector<double> m_longSlowdown;
};

/// Runs the real routing and admission code of nine nodes over engine models in
/// virtual time, in steps of 10 ms.
class Simulation {
public:
  Simulation(const Workload &W, const Scenario &S);
  ~Simulation();
  Outcome run();

private:
  struct Node;
  struct Report {
    Instant m_arrives;
    int m_replica;
    TargetLoad m_load;
  };
  struct Events {
    Instant m_arrives;
    int m_replica;
    std::vector<CacheEvent> m_events;
  };

  void arrive();
  std::unique_ptr<Job> makeJob();
  void offer(Job *J);
  void stepEngines();
  void observe(Job *J);
  void finish(Job *J);
  void hangUp();
  void sendReports();
  void deliverReports();
  void loseDomain();
  void detectLoss();
  void renewQuotas();
  void runNode(Node &N);
  void handle(Node &N, const AdmissionDecision &D);
  void yieldLong(Node &N);
  bool route(Node &N, Job *J);
  std::vector<Candidate> candidates(Node &N, const Job &J) const;
  void drop(Job *J);
  void trace();
  Job *find(const RequestId &Id) const;
  std::int64_t poolLimit() const;

  const Workload &m_workload;
  Scenario m_scenario;
  std::mt19937_64 m_arrivals;
  std::mt19937_64 m_random;
  Instant m_now = absl::UnixEpoch();
  std::int64_t m_step = 0;
  std::int64_t m_nextId = 0;
  std::vector<Customer> m_customers;
  std::vector<double> m_shares;
  std::vector<Engine> m_engines;
  std::vector<bool> m_knownLost;
  std::vector<std::unique_ptr<ConcurrencyController>> m_controllers;
  std::vector<std::vector<double>> m_firstTokenSamples;
  std::vector<std::unique_ptr<Node>> m_nodes;
  QuotaOptions m_quotaOptions;
  std::unique_ptr<QuotaAllocator> m_allocator;
  absl::flat_hash_map<RequestId, std::unique_ptr<Job>> m_jobs;
  std::deque<Report> m_reports;
  std::deque<Events> m_events;
  std::deque<std::pair<Instant, RequestId>> m_hangUps;
  Outcome m_outcome;
};

} // namespace turmericdyke::bench
