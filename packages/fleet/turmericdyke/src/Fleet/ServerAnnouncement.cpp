#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

#include "turmericdyke/src/Fleet/ValueChecker.h"

namespace turmericdyke {

namespace internal {
namespace {

void checkStaged(const std::vector<std::string> &Models, ValueChecker &Values) {
  Values.number("staged", Models.size(), ServerAnnouncement::MaxStagedModels);
  for (const std::string &Model : Models)
    Values.name("staged", Model);
}

void checkGroup(const std::optional<GroupMembership> &Group,
                ValueChecker &Values) {
  if (!Group)
    return;
  Values.requiredName("group/name", Group->m_group)
      .number("group/epoch", Group->m_epoch, MaxExactInteger)
      .number("group/rank", Group->m_rank, GroupMembership::MaxMembers - 1);
}

bool sameColdTime(const std::optional<Instant> &Known,
                  const std::optional<Instant> &Later) {
  if (!Later)
    return true;
  Instant Before = Known.value_or(absl::InfinitePast());
  if (Before == absl::InfinitePast() || *Later == absl::InfinitePast())
    return Before == *Later;
  return absl::AbsDuration(*Later - Before) <=
         ServerAnnouncement::ColdTolerance;
}

} // namespace
} // namespace internal

std::string_view nameOf(MemberState State) {
  constexpr std::string_view Names[] = {"joining", "ready", "open", "closing",
                                        "broken"};
  return Names[static_cast<std::size_t>(State)];
}

bool sameContent(const ServerAnnouncement &A, const ServerAnnouncement &B) {
  return internal::sameColdTime(A.m_coldUntil, B.m_coldUntil) &&
         A.m_startMillis == B.m_startMillis && A.m_service == B.m_service &&
         A.m_address == B.m_address && A.m_draining == B.m_draining &&
         A.m_group == B.m_group && A.m_model == B.m_model &&
         A.m_stagedModels == B.m_stagedModels && A.m_slots == B.m_slots;
}

std::optional<FleetError>
validateAnnouncement(const ServerAnnouncement &Value) {
  internal::ValueChecker Values;
  Values.headerText("id", Value.m_id.str())
      .requiredName("service", Value.m_service.str())
      .address("address", Value.m_address)
      .name("failure_domain", Value.m_failureDomain.str())
      .name("fabric_domain", Value.m_fabricDomain.str())
      .number("slots", Value.m_slots, ServerAnnouncement::MaxSlots)
      .number("start_millis", Value.m_startMillis, MaxExactInteger)
      .number("sequence", Value.m_sequence, MaxExactInteger)
      .name("model", Value.m_model);
  internal::checkStaged(Value.m_stagedModels, Values);
  internal::checkGroup(Value.m_group, Values);
  return Values.error();
}

std::optional<FleetError> validateReport(const ServerReport &Value) {
  internal::ValueChecker Values;
  Values.number("start_millis", Value.m_startMillis, MaxExactInteger)
      .name("model", Value.m_model);
  internal::checkStaged(Value.m_stagedModels, Values);
  internal::checkGroup(Value.m_group, Values);
  return Values.error();
}

} // namespace turmericdyke
