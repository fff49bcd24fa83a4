#include "turmericdyke/src/Coordinator/SuspectRecords.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "turmericdyke/src/Base/StableHash.h"
#include "turmericdyke/src/Control/ControlState.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Stands for all customers in the identity of a key: parts of prompts are
/// shared by customers, and the key of an exact request covers its customer.
constexpr std::string_view AnyCustomer = "*";
/// The replicated state refuses what was marked for so many crashes.
constexpr std::size_t CrashesUntilRefusal = 2;

RequestIdentity identityOf(SuspectKey Key) {
  return {CustomerId(std::string(AnyCustomer)),
          absl::StrCat(absl::Hex(Key, absl::kZeroPad16))};
}

std::optional<SuspectKey> keyOf(const RequestIdentity &Identity) {
  SuspectKey Key = 0;
  if (Identity.m_customer.str() != AnyCustomer ||
      !absl::SimpleHexAtoi(Identity.m_digest, &Key))
    return std::nullopt;
  return Key;
}

} // namespace
} // namespace internal

bool wasRefused(const ControlState &State, SuspectKey Key) {
  return State.suspectState(internal::identityOf(Key)) == SuspectState::Suspect;
}

std::vector<MarkSuspects>
refusalCommands(const CrashAttribution::Verdict &Verdict) {
  std::vector<MarkSuspects> Commands;
  std::size_t Count =
      std::min(Verdict.m_crashes.size(), internal::CrashesUntilRefusal);
  for (std::size_t At = 0; At < Count; ++At)
    Commands.push_back(
        {Verdict.m_crashes[Verdict.m_crashes.size() - Count + At],
         {internal::identityOf(Verdict.m_key)}});
  return Commands;
}

SuspectLists suspectLists(const ControlState &State,
                          std::vector<SuspectKey> Suspects) {
  SuspectLists Lists;
  Lists.m_suspects = std::move(Suspects);
  CustomerId Any{std::string(internal::AnyCustomer)};
  for (const auto &[Identity, Status] : State.suspectsOf(Any))
    if (std::optional<SuspectKey> Key = internal::keyOf(Identity);
        Key && Status == SuspectState::Refused)
      Lists.m_refused.push_back(*Key);
  if (!Lists.m_suspects.empty() || !Lists.m_refused.empty())
    Lists.m_version = stableHash({absl::StrJoin(Lists.m_suspects, ","), "/",
                                  absl::StrJoin(Lists.m_refused, ",")});
  return Lists;
}

} // namespace turmericdyke
