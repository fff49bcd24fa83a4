#pragma once

#include <map>
#include <optional>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct ServerRecord;
struct ServiceEntry;
struct ServingTarget;

/// In any second a cold server gets at most `m_overage` times the rate that it
/// can take, and `m_slack` requests.
struct ColdBounds {
  double m_overage = 1;
  double m_slack = 0;
};

/// Which of the published targets are cold, and the rate that all entry nodes
/// together may send to them.
class ColdTargets {
public:
  explicit ColdTargets(ColdBounds Bounds) : m_bounds(Bounds) {}

  /// The rate to publish for a server, nothing if it is warm. A bucket that
  /// holds permissions of one second lets twice its rate through in a second,
  /// so the rate is half of what the server may get in one. It does not depend
  /// on how much longer the server stays cold, so that it is published once.
  /// `RequestsSince` is described at `coldUntil`.
  std::optional<double> rate(Instant Now, const ServerRecord &Server,
                             const ServiceEntry &Service,
                             Instant RequestsSince) const;

  /// A target that has become cold, or warm if it has no rate.
  struct Change {
    TargetId m_target;
    std::optional<double> m_perSecond;
  };
  /// Takes the targets that are to be published, and returns what changed. The
  /// rates of targets that become cold are lent from now on if `MayLend`.
  std::vector<Change> update(absl::Span<ServingTarget> Targets, bool MayLend);
  std::size_t size() const { return m_cold.size(); }
  bool isLent(const TargetId &Target) const {
    auto Found = m_cold.find(Target);
    return Found != m_cold.end() && Found->second;
  }
  void clear() { m_cold.clear(); }

private:
  ColdBounds m_bounds;
  /// Whether the rate of each cold target is lent. A change of that while the
  /// target is cold would let equal parts and grants add up.
  std::map<TargetId, bool> m_cold;
};

} // namespace turmericdyke
