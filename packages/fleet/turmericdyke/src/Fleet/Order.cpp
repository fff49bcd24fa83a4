#include "turmericdyke/src/Fleet/Order.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view OrderKindNames[] = {"join", "release", "drain"};

} // namespace
} // namespace internal

std::string_view nameOf(OrderKind Kind) {
  return internal::OrderKindNames[static_cast<std::size_t>(Kind)];
}

nlohmann::json toJson(const Order &Value) {
  return {{"id", Value.m_id},
          {"target", Value.m_target.str()},
          {"incarnation", Value.m_incarnation},
          {"kind", nameOf(Value.m_kind)},
          {"spec", toJson(Value.m_spec)},
          {"replica", Value.m_membership.m_replica.str()},
          {"generation", Value.m_membership.m_generation},
          {"rank", Value.m_membership.m_rank},
          {"replica_size", Value.m_replicaSize},
          {"fence", Value.m_fencingToken},
          {"expires_in_ms", Value.m_expiresInMs}};
}

Result<Order, FleetError> parseOrder(const nlohmann::json &Value) {
  Order Read;
  internal::JsonReader Reader(Value);
  Reader.text("id", Read.m_id, true)
      .id("target", Read.m_target, true)
      .number("incarnation", Read.m_incarnation)
      .choice("kind", Read.m_kind, internal::OrderKindNames)
      .id("replica", Read.m_membership.m_replica)
      .number("generation", Read.m_membership.m_generation)
      .number("rank", Read.m_membership.m_rank)
      .number("replica_size", Read.m_replicaSize)
      .number("fence", Read.m_fencingToken)
      .number("expires_in_ms", Read.m_expiresInMs);
  internal::readSpec(Reader, Read.m_spec);
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
