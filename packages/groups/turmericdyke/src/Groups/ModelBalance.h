#pragma once

#include <map>
#include <string>
#include <vector>

namespace turmericdyke {

struct EngineCosts;
struct EngineModel;

/// How many servers hold each model of a service, against its declared share of
/// the work.
class ModelBalance {
public:
  explicit ModelBalance(const EngineCosts &Engine);

  void add(const EngineModel &Model, std::size_t Servers);
  void remove(const EngineModel &Model, std::size_t Servers);
  /// Servers for each unit of the share.
  double ratio(const EngineModel &Model) const;
  /// The models, the worst supplied first.
  std::vector<const EngineModel *> byNeed() const;

private:
  struct Entry {
    double m_share = 0;
    double m_servers = 0;
  };

  std::vector<const EngineModel *> m_models;
  std::map<std::string, Entry> m_entries;
};

} // namespace turmericdyke
