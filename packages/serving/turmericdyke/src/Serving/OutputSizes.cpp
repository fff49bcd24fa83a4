#include "turmericdyke/src/Serving/OutputSizes.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

/// Responses of a model before its mean counts. The lengths of single responses
/// differ by as much as their mean.
constexpr std::int64_t MinResponses = 8;
/// Later responses have at least this weight in the mean, so that it follows a
/// change of the load.
constexpr double MinWeight = 1.0 / 64;

} // namespace
} // namespace internal

void OutputSizes::Mean::add(double Events) {
  ++m_count;
  double Weight =
      std::max(1.0 / static_cast<double>(m_count), internal::MinWeight);
  m_events += (Events - m_events) * Weight;
}

void OutputSizes::record(const ServiceId &Service, std::string_view Model,
                         std::uint64_t Events) {
  OfService &Sizes = m_services[Service];
  Sizes.m_all.add(static_cast<double>(Events));
  Sizes.m_models[std::string(Model)].add(static_cast<double>(Events));
}

std::optional<double> OutputSizes::relativeSize(const ServiceId &Service,
                                                std::string_view Model) const {
  auto Found = m_services.find(Service);
  if (Found == m_services.end() || Found->second.m_all.m_events <= 0)
    return std::nullopt;
  auto OfModel = Found->second.m_models.find(Model);
  if (OfModel == Found->second.m_models.end() ||
      OfModel->second.m_count < internal::MinResponses)
    return std::nullopt;
  return OfModel->second.m_events / Found->second.m_all.m_events;
}

} // namespace turmericdyke
