#include "turmericdyke/src/Control/AssignmentTable.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace turmericdyke::internal {

namespace {

CommandRefused generationMismatch(std::uint64_t Stored) {
  return {CommandRefusalReason::GenerationMismatch,
          fmt::format("the stored generation is {}", Stored)};
}

} // namespace

bool AssignmentTable::isOccupied(const AssignedMember &Member,
                                 const ReplicaId &By) const {
  auto Host = m_byHost.find(Member.m_host);
  auto Target = m_byTarget.find(Member.m_target);
  return m_departing.contains(Member.m_host) ||
         (Host != m_byHost.end() && Host->second != By) ||
         (Target != m_byTarget.end() && Target->second != By);
}

CommandResult AssignmentTable::checkMembers(const Assignment &Value) const {
  if (Value.m_members.empty())
    return CommandInvalid{"/assignment/members", "is empty"};
  std::set<HostId> Hosts;
  std::set<TargetId> Targets;
  for (const AssignedMember &Member : Value.m_members) {
    if (!Hosts.insert(Member.m_host).second ||
        !Targets.insert(Member.m_target).second)
      return CommandInvalid{"/assignment/members", "names a host twice"};
    if (!m_skipHostCheck && isOccupied(Member, Value.m_replica))
      return CommandRefused{
          CommandRefusalReason::HostOccupied,
          fmt::format("host {} is not free", Member.m_host.str())};
  }
  return CommandApplied{};
}

CommandResult AssignmentTable::apply(const SetAssignment &Command) {
  const Assignment &New = Command.m_assignment;
  std::shared_ptr<const Assignment> Old = find(New.m_replica);
  const std::uint64_t Stored = Old ? Old->m_generation : 0;
  if (Old && *Old == New)
    return CommandApplied{};
  if (Stored != Command.m_expectedGeneration)
    return generationMismatch(Stored);
  if (Old && Old->m_phase == AssignmentPhase::Ending)
    return CommandRefused{CommandRefusalReason::WrongPhase,
                          "the assignment is ending"};
  if (!Old && New.m_phase != AssignmentPhase::Active)
    return CommandRefused{CommandRefusalReason::WrongPhase,
                          "a new assignment must be active"};
  bool SameMembers = Old && Old->m_members == New.m_members;
  if (New.m_generation < Stored || (!SameMembers && New.m_generation == Stored))
    return CommandInvalid{"/assignment/generation",
                          "does not grow with the change of members"};
  CommandResult Checked = checkMembers(New);
  if (!std::holds_alternative<CommandApplied>(Checked))
    return Checked;
  if (Old) {
    erase(*Old);
    for (const AssignedMember &Member : Old->m_members) {
      bool Kept = std::any_of(New.m_members.begin(), New.m_members.end(),
                              [&](const AssignedMember &Other) {
                                return Other.m_host == Member.m_host;
                              });
      if (!Kept)
        m_departing[Member.m_host] = {Member, Old->m_replica,
                                      Old->m_generation};
    }
  }
  store(std::make_shared<const Assignment>(New));
  return CommandApplied{};
}

CommandResult AssignmentTable::apply(const RemoveAssignment &Command) {
  std::shared_ptr<const Assignment> Old = find(Command.m_replica);
  if (!Old)
    return CommandApplied{};
  if (Old->m_generation != Command.m_expectedGeneration)
    return generationMismatch(Old->m_generation);
  if (Old->m_phase != AssignmentPhase::Ending)
    return CommandRefused{CommandRefusalReason::WrongPhase,
                          "only an ending assignment can be removed"};
  erase(*Old);
  m_assignments.erase(Command.m_replica);
  return CommandApplied{};
}

CommandResult AssignmentTable::apply(const AcceptBuild &Command) {
  std::shared_ptr<const Assignment> Old = find(Command.m_replica);
  const std::uint64_t Stored = Old ? Old->m_generation : 0;
  if (!Old || Stored != Command.m_expectedGeneration)
    return generationMismatch(Stored);
  auto New = std::make_shared<Assignment>(*Old);
  New->m_acceptedBuild = Command.m_build;
  m_assignments[Command.m_replica] = std::move(New);
  return CommandApplied{};
}

CommandResult AssignmentTable::apply(const ReleaseHost &Command) {
  auto Found = m_departing.find(Command.m_host);
  if (Found == m_departing.end())
    return CommandApplied{};
  // A delayed duplicate must not release a host that is departing again.
  if (Found->second.m_replica != Command.m_replica ||
      Found->second.m_generation != Command.m_generation)
    return generationMismatch(Found->second.m_generation);
  m_departing.erase(Found);
  return CommandApplied{};
}

void AssignmentTable::store(std::shared_ptr<const Assignment> Value) {
  for (const AssignedMember &Member : Value->m_members) {
    m_byHost[Member.m_host] = Value->m_replica;
    m_byTarget[Member.m_target] = Value->m_replica;
  }
  m_assignments[Value->m_replica] = std::move(Value);
}

void AssignmentTable::erase(const Assignment &Value) {
  for (const AssignedMember &Member : Value.m_members) {
    m_byHost.erase(Member.m_host);
    m_byTarget.erase(Member.m_target);
  }
}

std::shared_ptr<const Assignment>
AssignmentTable::find(const ReplicaId &Replica) const {
  auto Found = m_assignments.find(Replica);
  return Found == m_assignments.end() ? nullptr : Found->second;
}

std::shared_ptr<const Assignment>
AssignmentTable::findByHost(const HostId &Host) const {
  auto Found = m_byHost.find(Host);
  return Found == m_byHost.end() ? nullptr : find(Found->second);
}

nlohmann::json AssignmentTable::toJson() const {
  nlohmann::json Assignments = nlohmann::json::array();
  for (const auto &[Replica, Value] : m_assignments)
    Assignments.push_back(turmericdyke::toJson(*Value));
  nlohmann::json Departing = nlohmann::json::array();
  for (const auto &[Host, Value] : m_departing)
    Departing.push_back({{"host", Host.str()},
                         {"target", Value.m_member.m_target.str()},
                         {"incarnation", Value.m_member.m_incarnation},
                         {"replica", Value.m_replica.str()},
                         {"generation", Value.m_generation}});
  return {{"assignments", std::move(Assignments)},
          {"departing", std::move(Departing)}};
}

bool AssignmentTable::readJson(const nlohmann::json &Value) {
  for (const nlohmann::json &Entry : Value.at("assignments")) {
    Result<Assignment, FleetError> Parsed = parseAssignment(Entry);
    if (!Parsed)
      return false;
    store(std::make_shared<const Assignment>(std::move(Parsed.value())));
  }
  for (const nlohmann::json &Entry : Value.at("departing")) {
    DepartingMember Member;
    Member.m_member.m_host = HostId(Entry.at("host").get<std::string>());
    Member.m_member.m_target = TargetId(Entry.at("target").get<std::string>());
    Member.m_member.m_incarnation = Entry.at("incarnation");
    Member.m_replica = ReplicaId(Entry.at("replica").get<std::string>());
    Member.m_generation = Entry.at("generation");
    m_departing[Member.m_member.m_host] = Member;
  }
  return true;
}

} // namespace turmericdyke::internal
