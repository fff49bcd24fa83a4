#include "SimCluster.h"

#include <fmt/format.h>

namespace turmericdyke::fuzz {

void SimCluster::crash(std::size_t Which, absl::Duration Length) {
  Process &Crashed = m_processes[Which];
  if (!Crashed.m_up)
    return;
  Crashed.m_up = false;
  ++Crashed.m_epoch;
  Crashed.m_deferred.clear();
  Crashed.m_pausedUntil = absl::InfinitePast();
  if (Which < m_nodes.size()) {
    m_nodes[Which]->crash();
    std::erase_if(m_calls, [Which](const CallPtr &Value) {
      if (Value->m_node == Which)
        Value->m_machine.reset();
      return Value->m_node == Which;
    });
  }
  at(Length, [this, Which, Epoch = Crashed.m_epoch] {
    if (m_processes[Which].m_epoch == Epoch)
      restart(Which);
  });
}

void SimCluster::restart(std::size_t Which) {
  Process &Restarted = m_processes[Which];
  if (Restarted.m_up)
    return;
  Restarted.m_up = true;
  ++Restarted.m_epoch;
  if (Which >= m_nodes.size()) {
    // A restart counts as a loss even if the silence was short.
    ++Restarted.m_losses;
    return m_targets[Which - m_nodes.size()].restart();
  }
  m_oracle.nodeStarted(Which);
  m_nodes[Which]->start(m_now, m_random);
}

void SimCluster::pause(std::size_t Which, absl::Duration Length) {
  if (!active(Which))
    return;
  m_processes[Which].m_pausedUntil = m_now + Length;
  // After the pause, request threads run before the control thread publishes a
  // new view.
  m_processes[Which].m_deferred.push_back([this, Which] {
    if (Which >= m_nodes.size())
      return;
    for (int Times = 0; Times < 3; ++Times)
      requestCompletion(Which);
  });
}

void SimCluster::resume(std::size_t Which) {
  std::vector<Task> Deferred = std::exchange(m_processes[Which].m_deferred, {});
  std::uint64_t Epoch = m_processes[Which].m_epoch;
  for (Task &Run : Deferred)
    if (m_processes[Which].m_up && m_processes[Which].m_epoch == Epoch)
      Run();
}

std::optional<std::size_t> SimCluster::leader() const {
  for (std::size_t Node = 0; Node < m_nodes.size(); ++Node)
    if (active(Node) && m_nodes[Node]->core().raft().isLeader())
      return Node;
  return std::nullopt;
}

std::size_t SimCluster::memberOf(std::size_t Where) const {
  for (const auto &Node : m_nodes) {
    if (!Node->isUp() || Node->core().state().assignments().empty())
      continue;
    const auto &All = Node->core().state().assignments();
    auto Chosen =
        std::next(All.begin(), static_cast<std::ptrdiff_t>(Where % All.size()));
    const auto &Members = Chosen->second->m_members;
    return std::stoul(
        Members[Where / 4 % Members.size()].m_target.str().substr(1));
  }
  return Where % m_targets.size();
}

void SimCluster::loseData(std::size_t Node, absl::Duration Length) {
  // Only one directory may be lost at a time: the voter set must contain the
  // current identities of all voters before another one is deleted.
  std::optional<std::size_t> Leader = leader();
  bool Safe = Leader && *Leader != Node && m_processes[Node].m_up;
  for (std::size_t Voter = 0; Safe && Voter < 3; ++Voter) {
    NodeId Name = SimNode::nameOf(Voter);
    Safe = m_processes[Voter].m_up &&
           m_nodes[*Leader]->core().raft().voters().contains(
               {Name, m_nodes[Voter]->identity()}) &&
           m_nodes[*Leader]->core().leads(m_nodes[*Leader]->clock(m_now));
  }
  crash(Node, Length);
  if (Safe)
    m_nodes[Node]->loseData();
}

void SimCluster::apply(const Action &Value) {
  trace("action {}", static_cast<int>(Value.m_kind));
  absl::Duration Length = absl::Milliseconds(Value.m_length);
  std::size_t Node = Value.m_where % m_nodes.size();
  std::size_t Target = processOf(Value.m_where % m_targets.size());
  std::size_t Member = processOf(memberOf(Value.m_where));
  switch (Value.m_kind) {
  case ActionKind::ChangeDeclaration:
    return changeDeclaration(Node, (Node + 1 + Value.m_where / 5) % 5);
  case ActionKind::CrashNode:
    return crash(Node, Length);
  case ActionKind::LoseData:
    return loseData(Node % 3, Length);
  case ActionKind::PauseNode:
    return pause(Node, Length);
  case ActionKind::CrashLeader:
    return crash(leader().value_or(Node), Length);
  case ActionKind::PauseLeader:
    return pause(leader().value_or(Node), Length);
  case ActionKind::TransferLeadership:
    if (leader())
      m_nodes[*leader()]->transferLeadership(m_now);
    return;
  case ActionKind::Partition:
    for (std::size_t Which = 0; Which < m_processes.size(); ++Which)
      m_processes[Which].m_partition =
          static_cast<int>((Which + Value.m_where) / 2 % 2);
    at(Length, [this] {
      for (Process &Each : m_processes)
        Each.m_partition = 0;
    });
    return;
  case ActionKind::BlockLink: {
    std::pair<std::size_t, std::size_t> Link{Node, Value.m_where % 13};
    m_blockedLinks.insert(Link);
    at(Length, [this, Link] { m_blockedLinks.erase(Link); });
    return;
  }
  case ActionKind::CrashTarget:
    return crash(Target, Length);
  case ActionKind::PauseTarget:
    return pause(Member, Length);
  case ActionKind::Leave:
    m_targets[Member - m_nodes.size()].leave(m_now);
    return;
  case ActionKind::CrashTwoTargets:
    crash(Member, absl::Seconds(30));
    at(absl::Milliseconds(4000 + Value.m_length), [this, Value] {
      crash(processOf(memberOf(Value.m_where)), absl::Seconds(30));
    });
    return;
  case ActionKind::LoseDomain:
    for (std::size_t Host = 0; Host < 5; ++Host)
      crash(processOf(Value.m_where % 2 * 5 + Host), Length);
    return;
  case ActionKind::PatchEngine:
    m_targets[Value.m_where % m_targets.size()].m_announcement.m_engineBuild =
        fmt::format("build-{}", ++m_build);
    return;
  default:
    return;
  }
}

void SimCluster::heal() {
  m_faults = false;
  m_blockedLinks.clear();
  std::string Build = fmt::format("build-{}", m_build);
  for (std::size_t Which = 0; Which < m_processes.size(); ++Which) {
    m_processes[Which].m_partition = 0;
    m_processes[Which].m_pausedUntil = absl::InfinitePast();
    if (!m_processes[Which].m_deferred.empty())
      resume(Which);
    restart(Which);
    if (Which < m_nodes.size())
      continue;
    SimTarget &Target = m_targets[Which - m_nodes.size()];
    Target.m_announcement.m_engineBuild = Build;
    if (Target.m_announcement.m_state == TargetState::Leaving) {
      ++m_processes[Which].m_losses;
      Target.restart();
    }
  }
  trace("healed");
}

} // namespace turmericdyke::fuzz
