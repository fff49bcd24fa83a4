#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/TargetLimit.h"

namespace turmericdyke {

/// What targets have stated of their limits, and when. The newest statement of
/// the newest instance counts, whichever node heard it and in whichever order
/// the reports arrive. Holds at most `MaxTargetLimits` targets; further ones
/// are ignored.
class LimitRecords {
public:
  /// Takes a statement that is `Limit.m_ageMicros` old at `Now`. Returns
  /// whether it changes what is known of the target.
  bool record(Instant Now, const TargetLimit &Limit);
  /// The limit of this instance; nothing if it has none.
  std::optional<double> limitOf(const TargetId &Target,
                                std::uint64_t Instance) const;
  /// When the target made its last statement; nothing if none is known.
  std::optional<Instant> statedAt(const TargetId &Target) const;
  /// Whether `Limit` says what is known already.
  bool agreesWith(const TargetLimit &Limit) const;
  /// Drops the statements that are older than `MaxAge`.
  void expire(Instant Now, absl::Duration MaxAge);
  void clear();

  /// The same for equal limits, on every node.
  std::uint64_t version() const { return m_version; }
  /// All statements, withdrawn limits included, with their age at `Now`.
  TargetLimitList list(Instant Now) const;

private:
  struct Statement {
    std::uint64_t m_instance = 0;
    std::optional<double> m_perSecond;
    Instant m_statedAt;
  };
  void updateVersion();

  std::map<TargetId, Statement> m_statements;
  std::uint64_t m_version = 0;
};

} // namespace turmericdyke
