#include "turmericdyke/src/Coordinator/WithdrawalRecords.h"

#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "turmericdyke/src/Base/StableHash.h"
#include "turmericdyke/src/Control/ControlState.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Stands in place of a customer in the identity of a withdrawal.
constexpr std::string_view WithdrawnServers = "*withdrawn";
/// A second mark for another crash would be a refusal; all withdrawals share
/// one.
constexpr std::string_view CrashId = "withdrawal";

std::string prefixOf(const TargetId &Id) {
  return fmt::format("{:016x}/", stableHash({Id.str()}));
}

/// Identities of one server are in the order of its starts.
RequestIdentity identityOf(const ServerIncarnation &Server) {
  return {CustomerId(std::string(WithdrawnServers)),
          fmt::format("{}{:020}", prefixOf(Server.m_id), Server.m_startMillis)};
}

} // namespace
} // namespace internal

bool isWithdrawn(const ControlState &State, const ServerIncarnation &Server) {
  RequestIdentity Wanted = internal::identityOf(Server);
  std::optional<RequestIdentity> Found = State.firstSuspectFrom(Wanted);
  return Found && Found->m_customer == Wanted.m_customer &&
         Found->m_digest.starts_with(internal::prefixOf(Server.m_id));
}

bool wasWithdrawn(const ControlState &State, const TargetId &Id) {
  return isWithdrawn(State, {Id, 0});
}

MarkSuspects withdrawalCommand(absl::Span<const ServerIncarnation> Servers) {
  MarkSuspects Command;
  Command.m_crashId = internal::CrashId;
  for (const ServerIncarnation &Server : Servers)
    Command.m_requests.push_back(internal::identityOf(Server));
  return Command;
}

} // namespace turmericdyke
