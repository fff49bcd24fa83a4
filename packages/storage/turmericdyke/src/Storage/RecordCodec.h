#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Consensus/RaftState.h"

namespace turmericdyke::internal {

/// Bytes before the payload of a record: length of the payload, CRC-32C of the
/// length, CRC-32C of the payload, 4 bytes each, least significant byte first.
/// The length has its own checksum: a damaged length in the middle of a file
/// must not look like a record that was cut off at its end.
constexpr std::size_t RecordHeaderBytes = 12;

/// Appends a record with `Payload` to `Out`.
void appendRecord(std::string_view Payload, std::string &Out);

enum class RecordStatus {
  Complete,
  /// The bytes end before the record does.
  Incomplete,
  /// A checksum does not match.
  Damaged,
};

struct ReadRecord {
  RecordStatus m_status = RecordStatus::Complete;
  std::string_view m_payload;
};

/// Reads the record at the start of `Bytes`, which must not be empty.
ReadRecord readRecord(std::string_view Bytes);

/// Payloads are CBOR arrays. Reading gives nothing for bytes of another shape.
std::string encodeEntry(const LogEntry &Entry);
std::optional<LogEntry> decodeEntry(std::string_view Payload);
std::string encodeHardState(const HardState &State);
std::optional<HardState> decodeHardState(std::string_view Payload);
std::string encodeSnapshot(const Snapshot &State);
std::optional<Snapshot> decodeSnapshot(std::string_view Payload);

} // namespace turmericdyke::internal
