#pragma once

#include <cstdint>
#include <string>

namespace turmericdyke {

enum class StorageErrorKind {
  /// A system call failed, for example with EIO.
  Io,
  /// The file system is full, or a quota or size limit is reached.
  NoSpace,
  /// Another process has the directory open.
  Locked,
  /// A file contradicts its checksum, its order or another file.
  Damaged,
  /// The directory was written by an unknown version.
  UnknownFormat,
  /// The directory already holds a log.
  NotEmpty,
  /// An earlier write failed; the directory must be opened again.
  Failed,
};

struct StorageError {
  StorageErrorKind m_kind = StorageErrorKind::Io;
  std::string m_message;
  std::string m_file;
  /// Byte offset in `m_file`; 0 if the whole file is concerned.
  std::uint64_t m_offset = 0;
};

} // namespace turmericdyke
