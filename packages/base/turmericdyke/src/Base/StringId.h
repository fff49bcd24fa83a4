#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace turmericdyke {

/// An identifier that is text on the wire. The tag makes identifiers of
/// different kinds distinct types.
template <class Tag> class StringId {
public:
  StringId() = default;
  explicit StringId(std::string Value) : m_value(std::move(Value)) {}
  explicit StringId(std::string_view Value) : m_value(Value) {}
  explicit StringId(const char *Value) : m_value(Value) {}

  const std::string &str() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  /// Not defaulted, as clang-tidy 14 reports the code that the compiler
  /// generates for a defaulted comparison.
  friend std::strong_ordering operator<=>(const StringId &A,
                                          const StringId &B) {
    return A.m_value <=> B.m_value;
  }
  friend bool operator==(const StringId &, const StringId &) = default;
  template <class H> friend H AbslHashValue(H State, const StringId &Id) {
    return H::combine(std::move(State), Id.m_value);
  }
  friend std::ostream &operator<<(std::ostream &Out, const StringId &Id) {
    return Out << Id.m_value;
  }

private:
  std::string m_value;
};

using NodeId = StringId<struct NodeIdTag>;
using HostId = StringId<struct HostIdTag>;
using TargetId = StringId<struct TargetIdTag>;
using CustomerId = StringId<struct CustomerIdTag>;
using ReplicaId = StringId<struct ReplicaIdTag>;
using RequestId = StringId<struct RequestIdTag>;
using AttemptId = StringId<struct AttemptIdTag>;
using FabricDomainId = StringId<struct FabricDomainIdTag>;
using FailureDomainId = StringId<struct FailureDomainIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
using TemplateId = StringId<struct TemplateIdTag>;

} // namespace turmericdyke
