#include "World.h"

#include <fmt/format.h>

namespace turmericdyke::fuzz {

void World::crash(std::size_t Which, absl::Duration Length) {
  Actor &Lost = m_actors[Which];
  if (!Lost.m_up)
    return;
  Lost.m_up = false;
  ++Lost.m_life;
  Lost.m_held.clear();
  Lost.m_pausedUntil = absl::InfinitePast();
  if (Which < m_nodes.size()) {
    m_nodes[Which]->crash();
    std::erase_if(m_calls, [Which](const CallPtr &Value) {
      if (Value->m_node == Which)
        Value->m_machine.reset();
      return Value->m_node == Which;
    });
  }
  at(Length, [this, Which, Life = Lost.m_life] {
    if (m_actors[Which].m_life == Life)
      restart(Which);
  });
}

void World::restart(std::size_t Which) {
  Actor &Back = m_actors[Which];
  if (Back.m_up)
    return;
  Back.m_up = true;
  ++Back.m_life;
  if (Which >= m_nodes.size()) {
    // Counted even if the silence was short.
    ++Back.m_losses;
    return m_targets[Which - m_nodes.size()].restart();
  }
  m_oracle.nodeStarted(Which);
  m_nodes[Which]->start(m_now, m_random);
}

void World::pause(std::size_t Which, absl::Duration Length) {
  if (!active(Which))
    return;
  m_actors[Which].m_pausedUntil = m_now + Length;
  // Request threads run again before the control thread has published.
  m_actors[Which].m_held.push_back([this, Which] {
    if (Which >= m_nodes.size())
      return;
    for (int Times = 0; Times < 3; ++Times)
      complete(Which);
  });
}

void World::resume(std::size_t Which) {
  std::vector<Work> Late = std::exchange(m_actors[Which].m_held, {});
  std::uint64_t Life = m_actors[Which].m_life;
  for (Work &Run : Late)
    if (m_actors[Which].m_up && m_actors[Which].m_life == Life)
      Run();
}

std::optional<std::size_t> World::leader() const {
  for (std::size_t Node = 0; Node < m_nodes.size(); ++Node)
    if (active(Node) && m_nodes[Node]->core().raft().isLeader())
      return Node;
  return std::nullopt;
}

std::size_t World::memberOf(std::size_t Where) const {
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

void World::loseData(std::size_t Node, absl::Duration Length) {
  // One directory at a time: the voter set must hold the present identities
  // before the next one may go.
  std::optional<std::size_t> Leader = leader();
  bool Whole = Leader && *Leader != Node && m_actors[Node].m_up;
  for (std::size_t Voter = 0; Whole && Voter < 3; ++Voter) {
    NodeId Name = SimNode::nameOf(Voter);
    Whole = m_actors[Voter].m_up &&
            m_nodes[*Leader]->core().raft().voters().contains(
                {Name, m_nodes[Voter]->identity()}) &&
            m_nodes[*Leader]->core().leads(m_nodes[*Leader]->clock(m_now));
  }
  crash(Node, Length);
  if (Whole)
    m_nodes[Node]->loseData();
}

void World::apply(const Action &Value) {
  trace("action {}", static_cast<int>(Value.m_kind));
  absl::Duration Length = absl::Milliseconds(Value.m_length);
  std::size_t Node = Value.m_where % m_nodes.size();
  std::size_t Target = actorOf(Value.m_where % m_targets.size());
  std::size_t Member = actorOf(memberOf(Value.m_where));
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
  case ActionKind::HandOver:
    if (leader())
      m_nodes[*leader()]->handOver(m_now);
    return;
  case ActionKind::Partition:
    for (std::size_t Which = 0; Which < m_actors.size(); ++Which)
      m_actors[Which].m_side =
          static_cast<int>((Which + Value.m_where) / 2 % 2);
    at(Length, [this] {
      for (Actor &Each : m_actors)
        Each.m_side = 0;
    });
    return;
  case ActionKind::SilentLink: {
    std::pair<std::size_t, std::size_t> Link{Node, Value.m_where % 13};
    m_silent.insert(Link);
    at(Length, [this, Link] { m_silent.erase(Link); });
    return;
  }
  case ActionKind::CrashTarget:
    return crash(Target, Length);
  case ActionKind::PauseTarget:
    return pause(Member, Length);
  case ActionKind::Leave:
    m_targets[Member - m_nodes.size()].leave(m_now);
    return;
  case ActionKind::SecondHost:
    crash(Member, absl::Seconds(30));
    at(absl::Milliseconds(4000 + Value.m_length), [this, Value] {
      crash(actorOf(memberOf(Value.m_where)), absl::Seconds(30));
    });
    return;
  case ActionKind::LoseDomain:
    for (std::size_t Host = 0; Host < 5; ++Host)
      crash(actorOf(Value.m_where % 2 * 5 + Host), Length);
    return;
  case ActionKind::Patch:
    m_targets[Value.m_where % m_targets.size()].m_truth.m_engineBuild =
        fmt::format("build-{}", ++m_build);
    return;
  default:
    return;
  }
}

void World::heal() {
  m_faults = false;
  m_silent.clear();
  std::string Build = fmt::format("build-{}", m_build);
  for (std::size_t Which = 0; Which < m_actors.size(); ++Which) {
    m_actors[Which].m_side = 0;
    m_actors[Which].m_pausedUntil = absl::InfinitePast();
    if (!m_actors[Which].m_held.empty())
      resume(Which);
    restart(Which);
    if (Which < m_nodes.size())
      continue;
    SimTarget &Target = m_targets[Which - m_nodes.size()];
    Target.m_truth.m_engineBuild = Build;
    if (Target.m_truth.m_state == TargetState::Leaving) {
      ++m_actors[Which].m_losses;
      Target.restart();
    }
  }
  trace("healed");
}

} // namespace turmericdyke::fuzz
