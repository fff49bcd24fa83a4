#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Control/CommandResult.h"

namespace turmericdyke::internal {

/// Records of calls that run at most once, and tombstones of expired records.
class OnceOnlyTable {
public:
  /// The first 16 bytes of the SHA-256 of customer and key.
  using KeyDigest = std::array<unsigned char, 16>;

  BeginOnceOnlyResult begin(const BeginOnceOnly &Command, absl::Time LogTime,
                            const ControlLimits &Limits);
  CommandResult finish(const FinishOnceOnly &Command,
                       const ControlLimits &Limits);
  void nodeLost(const NodeLost &Command);
  /// Replaces records older than the retention period with tombstones.
  void expire(absl::Time LogTime, const ControlLimits &Limits);

  /// Null if there is no record.
  const OnceOnlyRecord *find(const CustomerId &Customer,
                             std::string_view Key) const;
  bool hasTombstone(const CustomerId &Customer, std::string_view Key) const;
  std::size_t recordCount() const { return m_records.size(); }
  std::size_t tombstoneCount() const { return m_tombstones.size(); }

  /// For tests: lets a key begin again despite its record or tombstone.
  void skipRecordCheck() { m_skipRecordCheck = true; }
  void skipTombstoneCheck() { m_skipTombstoneCheck = true; }

  nlohmann::json toJson() const;
  /// Throws nlohmann exceptions or returns false on invalid content.
  bool readJson(const nlohmann::json &Value);

private:
  static KeyDigest digestOf(const CustomerId &Customer, std::string_view Key);
  bool isLost(const NodeId &Node, std::uint64_t Incarnation) const;

  absl::btree_map<KeyDigest, OnceOnlyRecord> m_records;
  absl::btree_set<std::pair<absl::Time, KeyDigest>> m_byAge;
  /// Records in progress by node, so that the loss of a node does not require a
  /// scan of all records.
  absl::btree_set<std::pair<NodeId, KeyDigest>> m_openRecords;
  absl::btree_set<KeyDigest> m_tombstones;
  /// Highest incarnation of each node that was declared lost.
  std::map<NodeId, std::uint64_t> m_lostNodes;
  std::uint64_t m_storedBytes = 0;
  bool m_skipRecordCheck = false;
  bool m_skipTombstoneCheck = false;
};

} // namespace turmericdyke::internal
