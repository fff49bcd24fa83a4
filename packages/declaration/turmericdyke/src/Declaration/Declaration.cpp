#include "turmericdyke/src/Declaration/Declaration.h"

#include <fmt/format.h>

#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t PoolHashHexDigits = 8;

} // namespace
} // namespace internal

std::string poolName(const ResolvedModel &Model) {
  std::string Settings = fmt::format(
      "{}\n{}\n{}\n{}\n{}\n{}\n{}", Model.m_model, Model.m_version,
      Model.m_hostsPerReplica, Model.m_acceleratorsPerHost,
      Model.m_slotsPerReplica, Model.m_longShare,
      Model.m_patchPolicy == EnginePatchPolicy::Accept ? "accept" : "reload");
  for (const std::string &Adapter : Model.m_adapters)
    Settings += fmt::format("\n{}", Adapter);
  std::string Hash =
      toHex(sha256(Settings)).substr(0, internal::PoolHashHexDigits);
  return fmt::format("{}@{}-{}", Model.m_model, Model.m_version, Hash);
}

} // namespace turmericdyke
