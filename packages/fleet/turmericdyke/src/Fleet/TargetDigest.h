#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// Maximum number of targets that one node reports, and so of entries in a
/// digest. At about 600 bytes an entry a digest stays under 2.5 MB.
inline constexpr std::size_t MaxDigestEntries = 4096;

/// Unit of `TargetDigest::m_ages`, in milliseconds.
inline constexpr std::int64_t DigestAgeUnitMs = 20;

/// The full announcement of one target, with its age at the time of sending.
struct DigestEntry {
  /// Index of the target in `TargetDigest::m_ages` of this and later digests.
  std::uint64_t m_slot = 0;
  std::int64_t m_ageUs = 0;
  TargetAnnouncement m_announcement;
};

/// New load of a target whose other fields are unchanged since they were last
/// sent.
struct DigestLoad {
  std::uint64_t m_slot = 0;
  /// Sequence of the announcement that carried the load.
  std::uint64_t m_sequence = 0;
  TargetLoad m_load;
  std::vector<CacheEvent> m_cacheEvents;
};

/// State of the targets that one node reports to another: changed targets in
/// full, changed loads, and the age of every target by slot.
struct TargetDigest {
  NodeId m_from;
  /// Incarnation of the sending process.
  std::uint64_t m_incarnation = 0;
  /// Increases by one with each digest of changes. A receiver that detects a
  /// gap requests a full digest and uses no ages until it arrives.
  std::uint64_t m_sequence = 0;
  /// Lists all targets that the sender reports, as of `m_sequence`.
  bool m_full = false;
  /// Asks the receiver for its full digest. Such a digest carries no entries
  /// and no sequence of its own.
  bool m_requestFull = false;
  /// Sender's clock at sending, in microseconds.
  std::int64_t m_sentAtUs = 0;
  /// Echo of the newest `m_sentAtUs` that the sender got from the receiver, how
  /// long ago the sender got it, and the receiver's incarnation at that time
  /// (0: no echo). The receiver derives an upper bound on the delay of this
  /// digest from it.
  std::int64_t m_echoUs = 0;
  std::int64_t m_echoHeldUs = 0;
  std::uint64_t m_echoIncarnation = 0;
  /// Revision in effect at the sender, and whether the sender holds a read
  /// lease.
  std::uint64_t m_revision = 0;
  bool m_leaseValid = false;
  std::vector<DigestEntry> m_entries;
  std::vector<DigestLoad> m_loads;
  /// One byte per slot: age in units of 20 ms, rounded up; 255 when the slot is
  /// unused or its age does not fit.
  std::string m_ages;
};

nlohmann::json toJson(const TargetDigest &Digest);

/// Reads a digest. Unknown fields are ignored; wrong types, a missing sender,
/// negative ages, too many entries and malformed announcements are errors.
Result<TargetDigest, FleetError> parseTargetDigest(const nlohmann::json &Value);

} // namespace turmericdyke
