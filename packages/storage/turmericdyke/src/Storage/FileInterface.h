#pragma once

#include <cstddef>
#include <string>

#include <sys/types.h>

namespace turmericdyke {

/// The calls that change files. Each returns what the system call of its name
/// returns, with `errno`. Tests replace them to make a disk full or broken.
class FileInterface {
public:
  virtual ~FileInterface() = default;

  virtual ssize_t write(int FileDescriptor, const char *Bytes,
                        std::size_t Count);
  virtual int fdatasync(int FileDescriptor);
  virtual int fsync(int FileDescriptor);
  virtual int ftruncate(int FileDescriptor, off_t Length);
  virtual int rename(const std::string &From, const std::string &To);
  virtual int unlink(const std::string &Path);
};

/// The calls of the operating system.
FileInterface &systemFiles();

} // namespace turmericdyke
