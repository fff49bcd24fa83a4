#include "turmericdyke/src/Groups/ModelBalance.h"

#include <algorithm>

#include "turmericdyke/src/Catalog/Catalog.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Replaces a share of zero, so that the ratio stays finite.
constexpr double MinShare = 1e-3;

} // namespace
} // namespace internal

ModelBalance::ModelBalance(const EngineCosts &Engine) {
  for (const EngineModel &Model : Engine.m_models) {
    m_models.push_back(&Model);
    m_entries[Model.m_name].m_share =
        std::max(Model.m_share, internal::MinShare);
  }
}

ModelBalance::ModelBalance(const EngineCosts &Engine,
                           const std::map<std::string, double> &Shares)
    : ModelBalance(Engine) {
  for (const auto &[Model, Share] : Shares) {
    auto Found = m_entries.find(Model);
    if (Found != m_entries.end())
      Found->second.m_share = std::max(Share, internal::MinShare);
  }
}

double ModelBalance::servers(const EngineModel &Model) const {
  return m_entries.at(Model.m_name).m_servers;
}

void ModelBalance::add(const EngineModel &Model, std::size_t Servers) {
  m_entries[Model.m_name].m_servers += static_cast<double>(Servers);
}

void ModelBalance::remove(const EngineModel &Model, std::size_t Servers) {
  m_entries[Model.m_name].m_servers -= static_cast<double>(Servers);
}

double ModelBalance::serversPerShare(const EngineModel &Model) const {
  const Entry &State = m_entries.at(Model.m_name);
  return State.m_servers / State.m_share;
}

std::vector<const EngineModel *> ModelBalance::scarcestFirst() const {
  std::vector<const EngineModel *> Ordered = m_models;
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [this](const EngineModel *A, const EngineModel *B) {
                     return serversPerShare(*A) < serversPerShare(*B);
                   });
  return Ordered;
}

} // namespace turmericdyke
