#pragma once

#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "FuzzOptions.h"
#include "Oracle.h"
#include "absl/random/distributions.h"

namespace turmericdyke::fuzz {

enum class ActionKind {
  Wait,
  ChangeDeclaration,
  CrashNode,
  LoseData,
  PauseNode,
  CrashLeader,
  PauseLeader,
  TransferLeadership,
  Partition,
  BlockLink,
  CrashTarget,
  PauseTarget,
  Leave,
  CrashTwoTargets,
  LoseDomain,
  PatchEngine,
  Count
};

/// A fault or change, after which the run continues for `m_ms` milliseconds of
/// virtual time.
struct Action {
  ActionKind m_kind = ActionKind::Wait;
  std::size_t m_where = 0;
  std::int64_t m_length = 0;
  std::int64_t m_ms = 0;
};
std::ostream &operator<<(std::ostream &Out, const Action &Value);

/// Simulates all state machines, the network between them and the callers, in
/// virtual time.
class SimCluster {
public:
  explicit SimCluster(FuzzOptions Options);

  /// Runs the actions, ends all faults and waits until the cluster is healthy.
  /// Returns the first violation, or an empty string.
  std::string run(const std::vector<Action> &Actions);
  const Oracle &oracle() const { return m_oracle; }

private:
  using Task = std::function<void()>;
  /// A process: nodes first, then targets.
  struct Process {
    bool m_up = true;
    std::uint64_t m_epoch = 0;
    Instant m_pausedUntil = absl::InfinitePast();
    std::vector<Task> m_deferred;
    int m_partition = 0;
    int m_losses = 0;
  };
  /// One attempt of a call, on the node that sends it.
  struct Call {
    AttemptId m_attempt;
    std::size_t m_node = 0;
    std::size_t m_target = 0;
    std::uint64_t m_targetIncarnation = 0;
    /// Idempotency key; empty for repeatable requests.
    std::string m_key;
    std::optional<AttemptMachine> m_machine;
    std::string m_forwarded;
    std::function<void(const AttemptResult &)> m_done;
  };
  using CallPtr = std::shared_ptr<Call>;

  void advance(absl::Duration Length);
  void step();
  void at(absl::Duration Delay, Task Run);
  /// Runs `Run` on a process unless it restarts first. While the process is
  /// paused, the callback is deferred.
  void deliver(std::size_t To, absl::Duration Delay, Task Run);
  bool linked(std::size_t From, std::size_t To) const;
  /// Sends a datagram, which may be lost, duplicated, delayed or reordered.
  void transmit(std::size_t From, std::size_t To, const Task &Run);
  bool randomChance(double Share) { return absl::Bernoulli(m_random, Share); }
  std::size_t randomBelow(std::size_t Bound) {
    return absl::Uniform<std::size_t>(m_random, 0, Bound);
  }
  absl::Duration delay();

  bool active(std::size_t Which) const;
  void crash(std::size_t Which, absl::Duration Length);
  void restart(std::size_t Which);
  void pause(std::size_t Which, absl::Duration Length);
  void resume(std::size_t Which);
  void apply(const Action &Value);
  void loseData(std::size_t Node, absl::Duration Length);
  std::optional<std::size_t> leader() const;
  std::size_t memberOf(std::size_t Where) const;
  void heal();
  void countLosses();

  void announce(std::size_t Target);
  void sendOrder(std::size_t From, const AddressedOrder &Value);
  void changeDeclaration(std::size_t First, std::size_t Second);
  void submitChange(std::size_t Node, const ApplyDeclaration &Change);
  void generateLoad(std::size_t Node);
  bool mayStart(std::size_t Node) const;
  void requestCompletion(std::size_t Node);
  void startCompletion(std::size_t Node);
  void callOnceOnly(std::size_t Node, const std::string &Key);
  void runRecorded(std::size_t Node, const BeginOnceOnly &Begun, bool Recorded);
  void send(const CallPtr &Value, const ClusterView &View,
            const std::vector<std::size_t> &Members, ResponseFormat Shape);
  void serve(const CallPtr &Value);
  void
  answer(const CallPtr &Value, absl::Duration Delay,
         const std::function<AttemptActions(AttemptMachine &, Instant)> &Event);
  void perform(const CallPtr &Value, const AttemptActions &Actions);
  std::string completeAnswer(const Call &Value) const;
  std::size_t processOf(std::size_t Target) const {
    return m_nodes.size() + Target;
  }
  template <class... Args>
  void trace(fmt::format_string<Args...> Text, Args &&...Values) const {
    if (m_options.m_trace)
      std::cerr << absl::ToUnixMillis(m_now) << " "
                << fmt::format(Text, std::forward<Args>(Values)...) << "\n";
  }

  FuzzOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now;
  bool m_faults = true;
  std::multimap<Instant, Task> m_events;
  std::vector<Process> m_processes;
  std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
  SimNodes m_nodes;
  std::vector<SimTarget> m_targets;
  Oracle m_oracle;
  std::vector<CallPtr> m_calls;
  std::vector<std::string> m_keys;
  std::map<std::size_t, AttemptId> m_lastAttempt;
  std::uint64_t m_steps = 0;
  std::uint64_t m_next = 0;
  int m_build = 1;
};

} // namespace turmericdyke::fuzz
