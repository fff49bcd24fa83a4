#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"

namespace turmericdyke {

/// Header field with which entry nodes tell each other about a request that one
/// passes on to the other, and about its outcome.
inline constexpr std::string_view RelayHeader = "Turmericdyke-Relay";

/// What an entry node that passes a request on states of it. All else is the
/// caller's request, which the other node admits like one of its own callers.
struct RelayedRequest {
  /// The node that passes the request on.
  NodeId m_from;
  /// Targets that the request may still be sent to, at least 1.
  std::int64_t m_attemptsLeft = 1;
  /// Version of the routing document by which it was admitted.
  std::uint64_t m_routingVersion = 0;
  /// `serviceHash` of the service that was chosen for the request; 0 if a node
  /// of an earlier version does not state it.
  std::int64_t m_serviceHash = 0;
};

/// Stands for a service in the header, as names may hold any characters.
std::int64_t serviceHash(const ServiceId &Service);

/// What became of a relayed request that no target has answered.
enum class RelayOutcome {
  /// It was sent to no target: the other node cannot carry it.
  NotOffered,
  /// It has not run.
  NotRun,
  /// It may have run.
  MayHaveRun
};

/// Sent with each response to a relayed request.
struct RelayedResponse {
  /// Targets that the request was sent to.
  std::int64_t m_attempts = 0;
  /// Set if the response is the other node's own and not a target's.
  std::optional<RelayOutcome> m_outcome;
  /// Why the other node rejected the request, where that holds for every node.
  std::optional<Refusal> m_reason;
};

std::string relayHeaderValue(const RelayedRequest &Value);
std::string relayHeaderValue(const RelayedResponse &Value);

/// Read the header's value. Unknown words are ignored; nothing is returned if a
/// required one is missing or malformed.
std::optional<RelayedRequest> readRelayedRequest(std::string_view Value);
std::optional<RelayedResponse> readRelayedResponse(std::string_view Value);

} // namespace turmericdyke
