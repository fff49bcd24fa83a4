#include "turmericdyke/src/Storage/FileInterface.h"

#include <cstdio>
#include <unistd.h>

namespace turmericdyke {

ssize_t FileInterface::write(int FileDescriptor, const char *Bytes,
                             std::size_t Count) {
  return ::write(FileDescriptor, Bytes, Count);
}

int FileInterface::fdatasync(int FileDescriptor) {
  return ::fdatasync(FileDescriptor);
}

int FileInterface::fsync(int FileDescriptor) { return ::fsync(FileDescriptor); }

int FileInterface::ftruncate(int FileDescriptor, off_t Length) {
  return ::ftruncate(FileDescriptor, Length);
}

int FileInterface::rename(const std::string &From, const std::string &To) {
  return ::rename(From.c_str(), To.c_str());
}

int FileInterface::unlink(const std::string &Path) {
  return ::unlink(Path.c_str());
}

FileInterface &systemFiles() {
  static FileInterface Files;
  return Files;
}

} // namespace turmericdyke
