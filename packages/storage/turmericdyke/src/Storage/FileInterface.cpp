#include "turmericdyke/src/Storage/FileInterface.h"

#include <cstdio>
#include <unistd.h>

namespace turmericdyke {

ssize_t FileInterface::write(int Descriptor, const char *Bytes,
                             std::size_t Count) {
  return ::write(Descriptor, Bytes, Count);
}

int FileInterface::fdatasync(int Descriptor) { return ::fdatasync(Descriptor); }

int FileInterface::fsync(int Descriptor) { return ::fsync(Descriptor); }

int FileInterface::ftruncate(int Descriptor, off_t Length) {
  return ::ftruncate(Descriptor, Length);
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
