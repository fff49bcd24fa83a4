#include "turmericdyke/src/Fleet/QuotaMessage.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

QuotaDemand readDemand(const nlohmann::json &Value, JsonReader &Outer) {
  QuotaDemand Demand;
  JsonReader Reader(Value);
  Reader.id("limit", Demand.m_limit, true)
      .number("demand", Demand.m_demand)
      .number("in_use", Demand.m_inUse);
  if (Demand.m_demand < 0 || Demand.m_inUse < 0)
    Reader.fail("demand", "is negative, or the number in use is");
  if (Reader.error())
    Outer.fail("demands", *Reader.error());
  return Demand;
}

QuotaAmount readAmount(const nlohmann::json &Value, JsonReader &Outer) {
  QuotaAmount Amount;
  JsonReader Reader(Value);
  Reader.id("limit", Amount.m_limit, true).number("amount", Amount.m_amount);
  if (Amount.m_amount < 0)
    Reader.fail("amount", "is negative");
  if (Reader.error())
    Outer.fail("amounts", *Reader.error());
  return Amount;
}

} // namespace
} // namespace internal

nlohmann::json toJson(const QuotaRequest &Request) {
  nlohmann::json Demands = nlohmann::json::array();
  for (const QuotaDemand &Demand : Request.m_demands)
    Demands.push_back({{"limit", Demand.m_limit.str()},
                       {"demand", Demand.m_demand},
                       {"in_use", Demand.m_inUse}});
  return {{"node", Request.m_node.str()},
          {"incarnation", Request.m_incarnation},
          {"sequence", Request.m_sequence},
          {"accepted", Request.m_accepted},
          {"demands", std::move(Demands)}};
}

nlohmann::json toJson(const QuotaGrant &Grant) {
  nlohmann::json Amounts = nlohmann::json::array();
  for (const QuotaAmount &Amount : Grant.m_amounts)
    Amounts.push_back(
        {{"limit", Amount.m_limit.str()}, {"amount", Amount.m_amount}});
  return {{"node", Grant.m_node.str()},
          {"incarnation", Grant.m_incarnation},
          {"sequence", Grant.m_sequence},
          {"lease_ms", absl::ToInt64Milliseconds(Grant.m_lease)},
          {"amounts", std::move(Amounts)}};
}

Result<QuotaRequest, FleetError>
parseQuotaRequest(const nlohmann::json &Value) {
  QuotaRequest Read;
  internal::JsonReader Reader(Value);
  Reader.id("node", Read.m_node, true)
      .number("incarnation", Read.m_incarnation)
      .number("sequence", Read.m_sequence)
      .number("accepted", Read.m_accepted);
  if (const nlohmann::json *Demands = Reader.list("demands"))
    for (const nlohmann::json &Entry : *Demands)
      Read.m_demands.push_back(internal::readDemand(Entry, Reader));
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

Result<QuotaGrant, FleetError> parseQuotaGrant(const nlohmann::json &Value) {
  QuotaGrant Read;
  std::int64_t LeaseMs = 0;
  internal::JsonReader Reader(Value);
  Reader.id("node", Read.m_node, true)
      .number("incarnation", Read.m_incarnation)
      .number("sequence", Read.m_sequence)
      .number("lease_ms", LeaseMs);
  if (LeaseMs < 0)
    Reader.fail("lease_ms", "is negative");
  if (const nlohmann::json *Amounts = Reader.list("amounts"))
    for (const nlohmann::json &Entry : *Amounts)
      Read.m_amounts.push_back(internal::readAmount(Entry, Reader));
  if (Reader.error())
    return failure(*Reader.error());
  Read.m_lease = absl::Milliseconds(LeaseMs);
  return Read;
}

} // namespace turmericdyke
