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
  HandOver,
  Partition,
  SilentLink,
  CrashTarget,
  PauseTarget,
  Leave,
  SecondHost,
  LoseDomain,
  Patch,
  Count
};

/// A fault or change; the run goes on for `m_ms` virtual milliseconds after it.
struct Action {
  ActionKind m_kind = ActionKind::Wait;
  std::size_t m_where = 0;
  std::int64_t m_length = 0;
  std::int64_t m_ms = 0;
};
std::ostream &operator<<(std::ostream &Out, const Action &Value);

/// All state machines, the network between them and the callers, in virtual
/// time.
class World {
public:
  explicit World(FuzzOptions Options);

  /// Runs the actions, ends all faults and waits for a healthy cluster. Returns
  /// the first violation, or nothing.
  std::string run(const std::vector<Action> &Actions);
  const Oracle &oracle() const { return m_oracle; }

private:
  using Work = std::function<void()>;
  /// A process: nodes first, then targets.
  struct Actor {
    bool m_up = true;
    std::uint64_t m_life = 0;
    Instant m_pausedUntil = absl::InfinitePast();
    std::vector<Work> m_held;
    int m_side = 0;
    int m_losses = 0;
  };
  /// One attempt of a call, at the node that makes it.
  struct Call {
    AttemptId m_attempt;
    std::size_t m_node = 0;
    std::size_t m_target = 0;
    std::uint64_t m_targetIncarnation = 0;
    /// Empty for repeatable work.
    std::string m_key;
    std::optional<AttemptMachine> m_machine;
    std::string m_forwarded;
    std::function<void(const AttemptResult &)> m_done;
  };
  using CallPtr = std::shared_ptr<Call>;

  void advance(absl::Duration Length);
  void step();
  void at(absl::Duration Delay, Work Run);
  /// Runs `Run` at an actor unless it restarts before; holds it while paused.
  void deliver(std::size_t To, absl::Duration Delay, Work Run);
  bool linked(std::size_t From, std::size_t To) const;
  /// A datagram: may be lost, doubled, late and out of order.
  void transmit(std::size_t From, std::size_t To, const Work &Run);
  bool chance(double Share) { return absl::Bernoulli(m_random, Share); }
  std::size_t below(std::size_t Bound) {
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
  void traffic(std::size_t Node);
  bool mayStart(std::size_t Node) const;
  void complete(std::size_t Node);
  void startCompletion(std::size_t Node);
  void callOnce(std::size_t Node, const std::string &Key);
  void callBegun(std::size_t Node, const BeginOnceOnly &Begun, bool Recorded);
  void send(const CallPtr &Value, const ClusterView &View,
            const std::vector<std::size_t> &Members, AnswerShape Shape);
  void serve(const CallPtr &Value);
  void
  answer(const CallPtr &Value, absl::Duration Delay,
         const std::function<AttemptActions(AttemptMachine &, Instant)> &Event);
  void perform(const CallPtr &Value, const AttemptActions &Actions);
  std::string wholeAnswer(const Call &Value) const;
  std::size_t actorOf(std::size_t Target) const {
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
  std::multimap<Instant, Work> m_events;
  std::vector<Actor> m_actors;
  std::set<std::pair<std::size_t, std::size_t>> m_silent;
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
