#include "turmericdyke/src/Node/Envelope.h"

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

Json toJson(const Envelope &Value) {
  std::vector<std::uint8_t> Command(Value.m_command.begin(),
                                    Value.m_command.end());
  return {{"o", Value.m_origin.str()},
          {"i", Value.m_incarnation},
          {"t", Value.m_ticket},
          {"c", Json::binary(std::move(Command))}};
}

std::optional<Envelope> fromJson(const Json &Value) {
  if (!Value.is_object())
    return std::nullopt;
  auto Origin = Value.find("o");
  auto Incarnation = Value.find("i");
  auto Ticket = Value.find("t");
  auto Command = Value.find("c");
  bool Complete = Origin != Value.end() && Origin->is_string() &&
                  Incarnation != Value.end() &&
                  Incarnation->is_number_unsigned() && Ticket != Value.end() &&
                  Ticket->is_number_unsigned() && Command != Value.end() &&
                  Command->is_binary();
  if (!Complete)
    return std::nullopt;
  const auto &Bytes = Command->get_binary();
  return Envelope{
      NodeId(Origin->get<std::string>()), Incarnation->get<std::uint64_t>(),
      Ticket->get<std::uint64_t>(), std::string(Bytes.begin(), Bytes.end())};
}

} // namespace
} // namespace internal

std::string encodeEnvelopes(const std::vector<Envelope> &Envelopes) {
  internal::Json Values = internal::Json::array();
  for (const Envelope &Value : Envelopes)
    Values.push_back(internal::toJson(Value));
  std::string Bytes;
  internal::Json::to_cbor(Values, Bytes);
  return Bytes;
}

std::optional<std::vector<Envelope>> decodeEnvelopes(std::string_view Bytes) {
  internal::Json Values =
      internal::Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!Values.is_array())
    return std::nullopt;
  std::vector<Envelope> Envelopes;
  for (const internal::Json &Value : Values) {
    std::optional<Envelope> Read = internal::fromJson(Value);
    if (!Read)
      return std::nullopt;
    Envelopes.push_back(std::move(*Read));
  }
  return Envelopes;
}

} // namespace turmericdyke
