#include "turmericdyke/src/Entry/RelayHeader.h"

#include <iterator>

#include <fmt/format.h>

#include "turmericdyke/src/Base/StableHash.h"
#include "turmericdyke/src/Base/Text.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view OutcomeNames[] = {"not_offered", "not_run",
                                             "may_have_run"};
/// Refusals that hold for every node, so that asking a further one is of no
/// use.
constexpr Refusal CommonRefusals[] = {Refusal::NoTarget, Refusal::Overloaded,
                                      Refusal::CrashesTargets};

/// The value of `Name` in a list of NAME=VALUE, separated by semicolons.
std::optional<std::string_view> word(std::string_view List,
                                     std::string_view Name) {
  for (std::string_view Part : splitList(List, ';')) {
    Part = trimmed(Part);
    if (Part.substr(0, Name.size()) == Name && Part.size() > Name.size() &&
        Part[Name.size()] == '=')
      return Part.substr(Name.size() + 1);
  }
  return std::nullopt;
}

std::optional<std::int64_t> number(std::string_view List,
                                   std::string_view Name) {
  std::optional<std::string_view> Text = word(List, Name);
  std::optional<std::int64_t> Value = Text ? parseInteger(*Text) : std::nullopt;
  return Value && *Value >= 0 ? Value : std::nullopt;
}

} // namespace
} // namespace internal

std::int64_t serviceHash(const ServiceId &Service) {
  return static_cast<std::int64_t>(stableHash({Service.str()}) >> 1);
}

std::string relayHeaderValue(const RelayedRequest &Value) {
  return fmt::format("from={};attempts={};routing={};service={}",
                     Value.m_from.str(), Value.m_attemptsLeft,
                     Value.m_routingVersion, Value.m_serviceHash);
}

std::string relayHeaderValue(const RelayedResponse &Value) {
  std::string Text = fmt::format("attempts={}", Value.m_attempts);
  if (Value.m_outcome)
    Text += fmt::format(
        ";outcome={}",
        internal::OutcomeNames[static_cast<std::size_t>(*Value.m_outcome)]);
  if (Value.m_reason)
    Text += fmt::format(";reason={}", nameOf(*Value.m_reason));
  return Text;
}

std::optional<RelayedRequest> readRelayedRequest(std::string_view Value) {
  std::optional<std::string_view> From = internal::word(Value, "from");
  std::optional<std::int64_t> Attempts = internal::number(Value, "attempts");
  std::optional<std::int64_t> Routing = internal::number(Value, "routing");
  if (!From || !Attempts || *Attempts < 1 || !Routing)
    return std::nullopt;
  return RelayedRequest{NodeId(*From), *Attempts,
                        static_cast<std::uint64_t>(*Routing),
                        internal::number(Value, "service").value_or(0)};
}

std::optional<RelayedResponse> readRelayedResponse(std::string_view Value) {
  std::optional<std::int64_t> Attempts = internal::number(Value, "attempts");
  if (!Attempts)
    return std::nullopt;
  RelayedResponse Parsed;
  Parsed.m_attempts = *Attempts;
  if (std::optional<std::string_view> Name = internal::word(Value, "outcome")) {
    // An outcome of a later version is one that promises nothing.
    Parsed.m_outcome = RelayOutcome::MayHaveRun;
    for (std::size_t At = 0; At < std::size(internal::OutcomeNames); ++At)
      if (internal::OutcomeNames[At] == *Name)
        Parsed.m_outcome = static_cast<RelayOutcome>(At);
  }
  if (std::optional<std::string_view> Name = internal::word(Value, "reason"))
    for (Refusal Reason : internal::CommonRefusals)
      if (nameOf(Reason) == *Name)
        Parsed.m_reason = Reason;
  return Parsed;
}

} // namespace turmericdyke
