#include "turmericdyke/src/Storage/Directory.h"

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <memory>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

namespace turmericdyke::internal {

namespace {

constexpr mode_t DirectoryMode = 0700;
constexpr mode_t FileMode = 0600;

} // namespace

FileDescriptor::FileDescriptor(FileDescriptor &&Other) noexcept
    : m_number(std::exchange(Other.m_number, -1)) {}

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&Other) noexcept {
  std::swap(m_number, Other.m_number);
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (isOpen())
    ::close(m_number);
}

StorageError errorFromErrno(std::string_view Call, const std::string &File) {
  int Code = errno;
  bool Full = Code == ENOSPC || Code == EDQUOT || Code == EFBIG;
  char Buffer[128] = "";
  return {Full ? StorageErrorKind::NoSpace : StorageErrorKind::Io,
          fmt::format("{} of {} failed: {}", Call, File,
                      strerror_r(Code, Buffer, sizeof(Buffer))),
          File, 0};
}

StorageError damage(const std::string &File, std::uint64_t Offset,
                    std::string_view Problem) {
  return {StorageErrorKind::Damaged,
          fmt::format("{} is damaged at byte {}: {}", File, Offset, Problem),
          File, Offset};
}

Directory::Directory(std::string Path, FileDescriptor Self,
                     FileInterface &Files)
    : m_path(std::move(Path)), m_self(std::move(Self)), m_files(&Files) {}

Result<Directory, StorageError> Directory::open(std::string_view Path,
                                                FileInterface &Files) {
  std::string Name(Path);
  bool Created = ::mkdir(Name.c_str(), DirectoryMode) == 0;
  if (!Created && errno != EEXIST)
    return errorFromErrno("mkdir", Name);
  FileDescriptor Self(::open(Name.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Self.isOpen())
    return errorFromErrno("open", Name);
  if (Created) {
    FileDescriptor Parent(::open(fmt::format("{}/..", Name).c_str(),
                                 O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!Parent.isOpen() || Files.fsync(Parent.number()) != 0)
      return errorFromErrno("fsync of the parent", Name);
  }
  return Directory(std::move(Name), std::move(Self), Files);
}

std::string Directory::pathOf(std::string_view Name) const {
  return fmt::format("{}/{}", m_path, Name);
}

Result<std::vector<std::string>, StorageError> Directory::names() const {
  std::unique_ptr<DIR, int (*)(DIR *)> Listing(::opendir(m_path.c_str()),
                                               ::closedir);
  if (Listing == nullptr)
    return errorFromErrno("opendir", m_path);
  std::vector<std::string> Names;
  errno = 0;
  while (const dirent *Found = ::readdir(Listing.get()))
    Names.emplace_back(Found->d_name);
  if (errno != 0)
    return errorFromErrno("readdir", m_path);
  return Names;
}

Result<std::optional<std::string>, StorageError>
Directory::read(std::string_view Name) const {
  std::string Path = pathOf(Name);
  FileDescriptor File(::open(Path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!File.isOpen() && errno == ENOENT)
    return std::optional<std::string>();
  if (!File.isOpen())
    return errorFromErrno("open", Path);
  struct stat Status = {};
  if (::fstat(File.number(), &Status) != 0)
    return errorFromErrno("fstat", Path);
  std::string Bytes(static_cast<std::size_t>(Status.st_size), '\0');
  for (std::size_t Done = 0; Done < Bytes.size();) {
    ssize_t Got =
        ::read(File.number(), Bytes.data() + Done, Bytes.size() - Done);
    if (Got < 0 && errno == EINTR)
      continue;
    if (Got < 0)
      return errorFromErrno("read", Path);
    if (Got == 0)
      return damage(Path, Done, "the file became shorter while it was read");
    Done += static_cast<std::size_t>(Got);
  }
  return std::optional<std::string>(std::move(Bytes));
}

Result<void, StorageError> Directory::replace(std::string_view Name,
                                              std::string_view Bytes) const {
  std::string Temporary = fmt::format("{}.tmp", Name);
  std::string Path = pathOf(Temporary);
  FileDescriptor File(
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
  if (!File.isOpen())
    return errorFromErrno("open", Path);
  BOOST_OUTCOME_TRYV(write(File, Temporary, Bytes));
  if (m_files->fsync(File.number()) != 0)
    return errorFromErrno("fsync", Path);
  if (m_files->rename(Path, pathOf(Name)) != 0)
    return errorFromErrno("rename", Path);
  return syncSelf();
}

Result<void, StorageError> Directory::remove(std::string_view Name) const {
  std::string Path = pathOf(Name);
  if (m_files->unlink(Path) != 0)
    return errorFromErrno("unlink", Path);
  return syncSelf();
}

Result<FileDescriptor, StorageError>
Directory::openForAppend(std::string_view Name) const {
  std::string Path = pathOf(Name);
  FileDescriptor File(::open(
      Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode));
  if (!File.isOpen())
    return errorFromErrno("open", Path);
  BOOST_OUTCOME_TRYV(syncSelf());
  return File;
}

Result<void, StorageError> Directory::truncate(std::string_view Name,
                                               std::uint64_t Length) const {
  BOOST_OUTCOME_TRY(File, openForAppend(Name));
  if (m_files->ftruncate(File.number(), static_cast<off_t>(Length)) != 0)
    return errorFromErrno("ftruncate", pathOf(Name));
  if (m_files->fsync(File.number()) != 0)
    return errorFromErrno("fsync", pathOf(Name));
  return success();
}

Result<void, StorageError> Directory::write(const FileDescriptor &File,
                                            std::string_view Name,
                                            std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Done = m_files->write(File.number(), Bytes.data(), Bytes.size());
    if (Done < 0 && errno == EINTR)
      continue;
    if (Done < 0)
      return errorFromErrno("write", pathOf(Name));
    Bytes.remove_prefix(static_cast<std::size_t>(Done));
  }
  return success();
}

Result<void, StorageError> Directory::syncData(const FileDescriptor &File,
                                               std::string_view Name) const {
  if (m_files->fdatasync(File.number()) != 0)
    return errorFromErrno("fdatasync", pathOf(Name));
  return success();
}

Result<void, StorageError> Directory::syncSelf() const {
  if (m_files->fsync(m_self.number()) != 0)
    return errorFromErrno("fsync", m_path);
  return success();
}

Result<FileDescriptor, StorageError>
Directory::lock(std::string_view Name) const {
  std::string Path = pathOf(Name);
  FileDescriptor File(
      ::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!File.isOpen())
    return errorFromErrno("open", Path);
  if (::flock(File.number(), LOCK_EX | LOCK_NB) == 0)
    return File;
  if (errno != EWOULDBLOCK)
    return errorFromErrno("flock", Path);
  return StorageError{StorageErrorKind::Locked,
                      fmt::format("another process holds {}", Path), Path, 0};
}

} // namespace turmericdyke::internal
