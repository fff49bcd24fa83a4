#include "turmericdyke/src/Base/Compression.h"

#include <algorithm>
#include <cassert>

#include <zlib.h>

namespace turmericdyke {

namespace internal {
namespace {

/// First guess of how much longer the bytes were; documents of operators shrink
/// to a fifth.
constexpr std::size_t UsualRatio = 6;

const Bytef *input(std::string_view Bytes) {
  return reinterpret_cast<const Bytef *>(Bytes.data());
}

Bytef *output(std::string &Bytes) {
  return reinterpret_cast<Bytef *>(Bytes.data());
}

} // namespace
} // namespace internal

std::string compress(std::string_view Bytes) {
  uLongf Size = compressBound(Bytes.size());
  std::string Made(Size, '\0');
  int Status = compress2(internal::output(Made), &Size, internal::input(Bytes),
                         Bytes.size(), Z_BEST_SPEED);
  assert(Status == Z_OK && "the buffer holds the bound that zlib states");
  (void)Status;
  Made.resize(Size);
  return Made;
}

std::optional<std::string> expand(std::string_view Bytes,
                                  std::size_t MaxBytes) {
  std::size_t Room = std::min(MaxBytes, Bytes.size() * internal::UsualRatio);
  for (;;) {
    std::string Made(Room, '\0');
    uLongf Size = Room;
    int Status = uncompress(internal::output(Made), &Size,
                            internal::input(Bytes), Bytes.size());
    if (Status == Z_OK) {
      Made.resize(Size);
      return Made;
    }
    if (Status != Z_BUF_ERROR || Room >= MaxBytes)
      return std::nullopt;
    Room = std::min(MaxBytes, Room * 2 + 1);
  }
}

} // namespace turmericdyke
