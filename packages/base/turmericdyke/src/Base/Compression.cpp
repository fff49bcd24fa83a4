#include "turmericdyke/src/Base/Compression.h"

#include <algorithm>
#include <cassert>

#include <zlib.h>

namespace turmericdyke {

namespace internal {
namespace {

/// Initial estimate of the compression ratio; operators' documents shrink to a
/// fifth.
constexpr std::size_t InitialRatio = 6;

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
  std::string Output(Size, '\0');
  int Status = compress2(internal::output(Output), &Size,
                         internal::input(Bytes), Bytes.size(), Z_BEST_SPEED);
  assert(Status == Z_OK && "the buffer holds the bound that zlib states");
  (void)Status;
  Output.resize(Size);
  return Output;
}

std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes) {
  std::size_t Capacity =
      std::min(MaxBytes, Bytes.size() * internal::InitialRatio);
  for (;;) {
    std::string Output(Capacity, '\0');
    uLongf Size = Capacity;
    int Status = uncompress(internal::output(Output), &Size,
                            internal::input(Bytes), Bytes.size());
    if (Status == Z_OK) {
      Output.resize(Size);
      return Output;
    }
    if (Status != Z_BUF_ERROR || Capacity >= MaxBytes)
      return std::nullopt;
    Capacity = std::min(MaxBytes, Capacity * 2 + 1);
  }
}

} // namespace turmericdyke
