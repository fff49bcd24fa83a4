#pragma once

#include <map>
#include <string>
#include <vector>

namespace turmericdyke {

struct EngineCosts;
struct EngineModel;

/// Tracks how many servers serve each model of a service, relative to the
/// model's declared share of the work.
class ModelBalance {
public:
  explicit ModelBalance(const EngineCosts &Engine);
  /// Uses these shares in place of the declared ones. Models that are not
  /// listed keep theirs.
  ModelBalance(const EngineCosts &Engine,
               const std::map<std::string, double> &Shares);

  void add(const EngineModel &Model, std::size_t Servers);
  void remove(const EngineModel &Model, std::size_t Servers);
  /// Servers counted for the model.
  double servers(const EngineModel &Model) const;
  /// Servers per unit of the model's share.
  double serversPerShare(const EngineModel &Model) const;
  /// All models, ordered from the worst to the best supplied.
  std::vector<const EngineModel *> scarcestFirst() const;

private:
  struct Entry {
    double m_share = 0;
    double m_servers = 0;
  };

  std::vector<const EngineModel *> m_models;
  std::map<std::string, Entry> m_entries;
};

} // namespace turmericdyke
