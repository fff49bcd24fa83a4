#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

#include "Workload.h"
#include "turmericdyke/Routing"

namespace turmericdyke::bench {

/// One request on its way through nodes and engines.
struct Job {
  RequestId m_id;
  int m_node = 0;
  int m_customer = 0;
  bool m_isLong = false;
  RequestClass m_class = RequestClass::Short;
  double m_promptTokens = 0;
  double m_outputTokens = 0;
  /// The shared prefix of the prompt.
  int m_prefix = 0;
  RouteRequest m_route;
  Instant m_arrived;
  Instant m_firstTokenBy;
  Instant m_submittedAt;
  Instant m_firstTokenAt = absl::InfiniteFuture();
  int m_replica = -1;
  double m_prefillLeft = 0;
  double m_generated = 0;
  /// Tokens and time of the last observation of speed.
  double m_observedTokens = 0;
  Instant m_observedAt;

  bool hasFirstToken() const {
    return m_firstTokenAt != absl::InfiniteFuture();
  }
};

/// A model of an engine: continuous batching with slots and a bounded KV cache,
/// prefill one prompt after another, decode speed that falls with the batch,
/// and a prefix cache of bounded size.
class Engine {
public:
  Engine(const Workload &W, double Speed);

  void submit(Job *J);
  /// Takes a request out, wherever it is.
  void remove(Job *J);
  void setPriorities(bool On) { m_priorities = On; }
  void lose();
  bool isLost() const { return m_isLost; }

  struct Progress {
    std::vector<Job *> m_firstTokens;
    std::vector<Job *> m_finished;
  };
  Progress step(Instant Now, double Seconds);

  TargetLoad load() const;
  const std::vector<Job *> &running() const { return m_running; }
  const std::deque<Job *> &waiting() const { return m_waiting; }
  /// Cache events since the last call.
  std::vector<CacheEvent> takeEvents();

private:
  void startWaiting();
  void start(Job *J);
  bool touchPrefix(int Prefix);
  static double cacheTokens(const Job &J);

  const Workload &m_workload;
  double m_speed;
  bool m_isLost = false;
  bool m_priorities = false;
  double m_usedTokens = 0;
  std::uint64_t m_sequence = 0;
  std::deque<Job *> m_waiting;
  std::vector<Job *> m_running;
  std::list<int> m_prefixes;
  std::vector<CacheEvent> m_events;
};

/// Hash under which nodes and engines know a shared prefix.
std::uint64_t hashOfPrefix(int Prefix);

} // namespace turmericdyke::bench
