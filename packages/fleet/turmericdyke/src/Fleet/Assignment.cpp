#include "turmericdyke/src/Fleet/Assignment.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view AssignmentPhaseNames[] = {"active", "ending"};

void readMembers(const nlohmann::json &Values,
                 std::vector<AssignedMember> &Members, JsonReader &Outer) {
  for (const nlohmann::json &Value : Values) {
    AssignedMember Member;
    JsonReader Reader(Value);
    Reader.id("target", Member.m_target, true)
        .id("host", Member.m_host, true)
        .number("incarnation", Member.m_incarnation);
    if (Reader.error())
      return Outer.fail("members", *Reader.error());
    Members.push_back(std::move(Member));
  }
}

} // namespace
} // namespace internal

nlohmann::json toJson(const Assignment &Value) {
  nlohmann::json Members = nlohmann::json::array();
  for (const AssignedMember &Member : Value.m_members)
    Members.push_back({{"target", Member.m_target.str()},
                       {"host", Member.m_host.str()},
                       {"incarnation", Member.m_incarnation}});
  return {
      {"replica", Value.m_replica.str()},
      {"generation", Value.m_generation},
      {"pool", Value.m_pool},
      {"spec", toJson(Value.m_spec)},
      {"fabric_domain", Value.m_fabricDomain.str()},
      {"failure_domain", Value.m_failureDomain.str()},
      {"phase",
       internal::AssignmentPhaseNames[static_cast<std::size_t>(Value.m_phase)]},
      {"members", std::move(Members)},
      {"accepted_build", Value.m_acceptedBuild}};
}

Result<Assignment, FleetError> parseAssignment(const nlohmann::json &Value) {
  Assignment Read;
  internal::JsonReader Reader(Value);
  Reader.id("replica", Read.m_replica, true)
      .number("generation", Read.m_generation)
      .text("pool", Read.m_pool)
      .id("fabric_domain", Read.m_fabricDomain)
      .id("failure_domain", Read.m_failureDomain)
      .choice("phase", Read.m_phase, internal::AssignmentPhaseNames)
      .text("accepted_build", Read.m_acceptedBuild);
  internal::readSpec(Reader, Read.m_spec);
  if (const nlohmann::json *Members = Reader.list("members"))
    internal::readMembers(*Members, Read.m_members, Reader);
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
