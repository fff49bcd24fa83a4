#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Storage/FileInterface.h"
#include "turmericdyke/src/Storage/StorageError.h"

namespace turmericdyke::internal {

/// A file descriptor, closed with the object.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Number) : m_number(Number) {}
  FileDescriptor(FileDescriptor &&Other) noexcept;
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept;
  ~FileDescriptor();

  int number() const { return m_number; }
  bool isOpen() const { return m_number >= 0; }

private:
  int m_number = -1;
};

/// Translates `errno` after a failed `Call` on `File`.
StorageError errorFromErrno(std::string_view Call, const std::string &File);

StorageError damage(const std::string &File, std::uint64_t Offset,
                    std::string_view Problem);

/// File operations in one directory, each durable when it returns.
class Directory {
public:
  /// Opens the directory, creating it if it does not exist.
  static Result<Directory, StorageError> open(std::string_view Path,
                                              FileInterface &Files);

  std::string pathOf(std::string_view Name) const;
  Result<std::vector<std::string>, StorageError> names() const;
  /// The contents; nothing if the file does not exist.
  Result<std::optional<std::string>, StorageError>
  read(std::string_view Name) const;
  /// Writes a temporary file, syncs it, renames it and syncs the directory.
  Result<void, StorageError> replace(std::string_view Name,
                                     std::string_view Bytes) const;
  Result<void, StorageError> remove(std::string_view Name) const;
  /// Opens a file for appending, creating it if it does not exist.
  Result<FileDescriptor, StorageError>
  openForAppend(std::string_view Name) const;
  /// Cuts a file at `Length`.
  Result<void, StorageError> truncate(std::string_view Name,
                                      std::uint64_t Length) const;
  /// Writes all bytes, without syncing them.
  Result<void, StorageError> write(const FileDescriptor &File,
                                   std::string_view Name,
                                   std::string_view Bytes) const;
  Result<void, StorageError> syncData(const FileDescriptor &File,
                                      std::string_view Name) const;
  /// Takes the lock that keeps a second process out.
  Result<FileDescriptor, StorageError> lock(std::string_view Name) const;

  /// Makes names that were created, renamed or removed durable.
  Result<void, StorageError> syncSelf() const;

private:
  Directory(std::string Path, FileDescriptor Self, FileInterface &Files);

  std::string m_path;
  FileDescriptor m_self;
  FileInterface *m_files;
};

} // namespace turmericdyke::internal
