#include "turmericdyke/src/Coordinator/DepartureRecords.h"

#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "absl/strings/numbers.h"
#include "turmericdyke/src/Base/StableHash.h"
#include "turmericdyke/src/Control/ControlState.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Stands in place of a customer in the identity of a record.
constexpr std::string_view DepartedServers[] = {"*draining", "*withdrawn"};
/// A second mark for another crash would be a refusal; all records of a kind
/// share one.
constexpr std::string_view CrashIds[] = {"drain", "withdrawal"};
/// A digest is the hash of the identifier, the start and the identifier if it
/// fits, separated by slashes.
constexpr std::size_t HashDigits = 16;
constexpr std::size_t StartDigits = 20;
constexpr std::size_t IdOffset = HashDigits + 1 + StartDigits + 1;
constexpr std::size_t MaxDigestBytes = 64;

std::string prefixOf(const TargetId &Id) {
  return fmt::format("{:0{}x}/", stableHash({Id.str()}), HashDigits);
}

CustomerId customerOf(Departure Kind) {
  return CustomerId(
      std::string(DepartedServers[static_cast<std::size_t>(Kind)]));
}

/// Identities of one server are in the order of its starts.
RequestIdentity identityOf(Departure Kind, const ServerIncarnation &Server) {
  std::string Digest = fmt::format("{}{:0{}}", prefixOf(Server.m_id),
                                   Server.m_startMillis, StartDigits);
  if (IdOffset + Server.m_id.str().size() <= MaxDigestBytes)
    Digest += "/" + Server.m_id.str();
  return {customerOf(Kind), std::move(Digest)};
}

std::optional<ServerIncarnation> serverOf(const RequestIdentity &Identity) {
  const std::string &Digest = Identity.m_digest;
  ServerIncarnation Server;
  if (Digest.size() <= IdOffset ||
      !absl::SimpleAtoi(Digest.substr(HashDigits + 1, StartDigits),
                        &Server.m_startMillis))
    return std::nullopt;
  Server.m_id = TargetId(Digest.substr(IdOffset));
  return Server;
}

/// Whether the departure of this incarnation or a later one is recorded.
bool isRecorded(const ControlState &State, Departure Kind,
                const ServerIncarnation &Server) {
  RequestIdentity Wanted{customerOf(Kind),
                         fmt::format("{}{:0{}}", prefixOf(Server.m_id),
                                     Server.m_startMillis, StartDigits)};
  std::optional<RequestIdentity> Found = State.firstSuspectFrom(Wanted);
  return Found && Found->m_customer == Wanted.m_customer &&
         Found->m_digest.starts_with(prefixOf(Server.m_id));
}

} // namespace
} // namespace internal

bool isWithdrawn(const ControlState &State, const ServerIncarnation &Server) {
  return internal::isRecorded(State, Departure::Withdrawn, Server);
}

bool isDraining(const ControlState &State, const ServerIncarnation &Server) {
  return internal::isRecorded(State, Departure::Draining, Server);
}

bool wasWithdrawn(const ControlState &State, const TargetId &Id) {
  return isWithdrawn(State, {Id, 0});
}

std::vector<ServerIncarnation> recentDepartures(const ControlState &State,
                                                absl::Duration Age) {
  std::vector<ServerIncarnation> Servers;
  for (Departure Kind : {Departure::Draining, Departure::Withdrawn})
    for (const RequestIdentity &Identity : State.suspectsMarkedSince(
             internal::customerOf(Kind), State.logTime() - Age))
      if (std::optional<ServerIncarnation> Server =
              internal::serverOf(Identity))
        Servers.push_back(std::move(*Server));
  return Servers;
}

MarkSuspects departureCommand(Departure Kind,
                              absl::Span<const ServerIncarnation> Servers) {
  MarkSuspects Command;
  Command.m_crashId = internal::CrashIds[static_cast<std::size_t>(Kind)];
  for (const ServerIncarnation &Server : Servers)
    Command.m_requests.push_back(internal::identityOf(Kind, Server));
  return Command;
}

} // namespace turmericdyke
