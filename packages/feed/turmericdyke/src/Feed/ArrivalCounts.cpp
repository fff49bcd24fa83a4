#include "turmericdyke/src/Feed/ArrivalCounts.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::int64_t MaxSum = 1'000'000'000'000'000;
constexpr std::size_t MaxModels = 512;

void addBounded(std::int64_t &Sum, std::int64_t Value) {
  Sum = std::min(MaxSum, Sum + std::clamp<std::int64_t>(Value, 0, MaxSum));
}

} // namespace
} // namespace internal

void ArrivalCounts::add(const ModelArrivals &Arrivals) {
  std::pair Key(Arrivals.m_service, Arrivals.m_model);
  if (Arrivals.m_service.str().size() > MaxNameBytes ||
      Arrivals.m_model.size() > MaxNameBytes ||
      (m_sums.size() >= internal::MaxModels && m_sums.count(Key) == 0))
    return;
  ModelArrivals &Sum = m_sums[std::move(Key)];
  Sum.m_service = Arrivals.m_service;
  Sum.m_model = Arrivals.m_model;
  internal::addBounded(Sum.m_requests, Arrivals.m_requests);
  internal::addBounded(Sum.m_promptTokens, Arrivals.m_promptTokens);
  internal::addBounded(Sum.m_outputTokens, Arrivals.m_outputTokens);
}

void ArrivalCounts::add(absl::Span<const ModelArrivals> Arrivals) {
  for (const ModelArrivals &Value : Arrivals)
    add(Value);
}

std::vector<ModelArrivals> ArrivalCounts::take() {
  std::vector<ModelArrivals> Sums;
  for (auto &[Key, Sum] : m_sums)
    Sums.push_back(std::move(Sum));
  m_sums.clear();
  return Sums;
}

} // namespace turmericdyke
