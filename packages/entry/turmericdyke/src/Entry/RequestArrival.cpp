#include "turmericdyke/src/Entry/RequestArrival.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"
#include "turmericdyke/src/Fleet/ModelArrivals.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Bounds what a request can state if the service has no limit of its own.
constexpr std::int64_t MaxTokens = 10'000'000;

std::int64_t promptTokens(const EngineCosts &Engine, std::int64_t Stated) {
  // A longer prompt fits into no replica.
  std::int64_t Longest =
      Engine.m_kvCapacityTokens > 0 ? Engine.m_kvCapacityTokens : MaxTokens;
  return std::min(Stated > 0 ? Stated : Engine.m_typicalPromptTokens, Longest);
}

/// Callers state a maximum, which few responses reach.
std::int64_t outputTokens(const EngineCosts &Engine, std::int64_t StatedMax,
                          std::optional<double> RelativeOutput) {
  std::int64_t Usual = Engine.m_typicalOutputTokens;
  if (RelativeOutput && Usual > 0)
    return std::max<std::int64_t>(
        1, std::llround(static_cast<double>(Usual) * *RelativeOutput));
  if (StatedMax <= 0)
    return Usual;
  return std::min(StatedMax, Usual > 0 ? Usual : MaxTokens);
}

} // namespace
} // namespace internal

ModelArrivals arrivalOf(const ServiceEntry &Service,
                        const CallerRequest &Request,
                        std::optional<double> RelativeOutput) {
  ModelArrivals Arrival;
  Arrival.m_service = Service.m_id;
  Arrival.m_requests = 1;
  if (!Service.m_engine || Service.m_engine->model(Request.m_model) == nullptr)
    return Arrival;
  Arrival.m_model = Request.m_model;
  Arrival.m_promptTokens =
      internal::promptTokens(*Service.m_engine, Request.m_promptTokens);
  Arrival.m_outputTokens = internal::outputTokens(
      *Service.m_engine, Request.m_maxOutputTokens, RelativeOutput);
  return Arrival;
}

} // namespace turmericdyke
