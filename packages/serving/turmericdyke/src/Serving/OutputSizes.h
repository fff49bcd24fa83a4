#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// How long the responses of each model are, relative to the mean response of
/// their service. Callers state only a maximum, which short responses are far
/// below: a model that mostly writes short ones would otherwise be taken to
/// need more servers than it does.
class OutputSizes {
public:
  /// A complete streamed response had this many events.
  void record(const ServiceId &Service, std::string_view Model,
              std::uint64_t Events);
  /// The mean length of the model's responses divided by that of all responses
  /// of the service; nothing until enough of both were seen.
  std::optional<double> relativeSize(const ServiceId &Service,
                                     std::string_view Model) const;

private:
  struct Mean {
    double m_events = 0;
    std::int64_t m_count = 0;

    void add(double Events);
  };
  struct OfService {
    Mean m_all;
    std::map<std::string, Mean, std::less<>> m_models;
  };

  std::map<ServiceId, OfService> m_services;
};

} // namespace turmericdyke
