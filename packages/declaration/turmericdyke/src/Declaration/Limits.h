#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace turmericdyke {

/// Largest size of one document, of all files of a declaration together, and of
/// the canonical JSON form.
constexpr std::size_t MaxDeclarationBytes = std::size_t{4} << 20;

constexpr std::size_t MaxCustomers = 10000;
constexpr std::size_t MaxTemplates = 1000;
constexpr std::size_t MaxServices = 1000;

namespace internal {

/// A valid declaration has at most six nesting levels. The limit rejects
/// malicious nesting before it exhausts the stack.
constexpr std::size_t MaxDocumentDepth = 16;
/// Allows about 30 values for each of 10,000 customers, with a margin. Without
/// the limit a document of 4 MiB could hold two million values, which take 500
/// MB of memory.
constexpr std::size_t MaxDocumentValues = 600000;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxTextBytes = 256;
constexpr std::size_t MaxListEntries = 256;

constexpr std::int64_t MaxCapacity = 1000000;
constexpr std::int64_t MaxRank = 9;
constexpr std::int64_t MaxLongTokens = 100000000;
constexpr std::int64_t MaxHostsPerReplica = 64;
constexpr std::int64_t MaxAcceleratorsPerHost = 64;
constexpr std::int64_t MaxSlotsPerReplica = 4096;
constexpr absl::Duration MinDeadline = absl::Milliseconds(1);
constexpr absl::Duration MaxDeadline = absl::Hours(24);

} // namespace internal

} // namespace turmericdyke
