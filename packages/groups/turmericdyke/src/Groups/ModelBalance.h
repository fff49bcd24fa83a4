#pragma once

#include <map>
#include <string>
#include <vector>

namespace turmericdyke {

struct EngineCosts;
struct EngineModel;

/// How many servers hold each model of a service, against what is asked of it.
class ModelBalance {
public:
  /// `Demand` by model name, in any unit that is the same for all; models that
  /// are absent count with their declared share.
  ModelBalance(const EngineCosts &Engine,
               const std::map<std::string, double> &Demand);

  void add(const EngineModel &Model, std::size_t Servers);
  void remove(const EngineModel &Model, std::size_t Servers);
  /// Servers for each unit of demand.
  double ratio(const EngineModel &Model) const;
  /// The models, the worst supplied first.
  std::vector<const EngineModel *> byNeed() const;

private:
  struct Entry {
    double m_demand = 0;
    double m_servers = 0;
  };

  std::vector<const EngineModel *> m_models;
  std::map<std::string, Entry> m_entries;
};

} // namespace turmericdyke
