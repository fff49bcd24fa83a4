#include "Workload.h"

#include <cmath>
#include <numeric>

#include <fmt/format.h>

#include "absl/random/distributions.h"

namespace turmericdyke::bench {

namespace {

constexpr double SizeParts[] = {30, 20, 12, 10, 8, 6, 5, 4, 3, 2};
constexpr std::size_t FloodingCustomer = 2;
constexpr double FloodFactor = 5;

} // namespace

const std::vector<Workload> &workloads() {
  static const std::vector<Workload> All = {
      {"quishpe", 15, 16, 30000, 12000, 60, 16, 400, 60, 1500, 1000,
       absl::Seconds(4)},
      {"chalkworks", 20, 8, 15000, 8000, 70, 12, 300, 40, 1500, 800,
       absl::Milliseconds(1500)}};
  return All;
}

std::vector<Customer> makeCustomers(const Workload &W) {
  std::vector<Customer> Customers;
  double Slots = W.m_replicas * W.m_slots;
  for (double Part : SizeParts) {
    Customer C;
    C.m_id = CustomerId(fmt::format("c{}", Customers.size()));
    C.m_capacity = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(0.75 * Slots * Part / 100));
    C.m_capacityLimit = static_cast<std::int64_t>(Slots / 2);
    C.m_firstTokenDeadline = W.m_firstTokenDeadline;
    C.m_longTokens = LongTokens;
    Customers.push_back(C);
  }
  return Customers;
}

std::vector<double> trafficShares(const std::vector<Customer> &Customers) {
  std::vector<double> Shares(std::begin(SizeParts), std::end(SizeParts));
  Shares.resize(Customers.size());
  Shares[FloodingCustomer] *= FloodFactor;
  double Sum = std::accumulate(Shares.begin(), Shares.end(), 0.0);
  for (double &Share : Shares)
    Share /= Sum;
  return Shares;
}

double loadFactor(double Second) {
  double Phase = std::fmod(Second, 20.0);
  if (Phase < 10)
    return 0.3;
  if (Phase < 12)
    return 0.3 + 2.7 * (Phase - 10) / 2;
  if (Phase < 16)
    return 3;
  if (Phase < 18)
    return 3 - 2.7 * (Phase - 16) / 2;
  return 0.3;
}

double meanService(const Workload &W, double LongShare) {
  // The mean of a log-normal distribution exceeds its median by this factor at
  // the sigma of 0.6 that outputs are drawn with.
  double Mean = std::exp(0.6 * 0.6 / 2);
  double Rate = W.m_decodeRate / (1 + W.m_slots / W.m_halfBatch);
  double Output =
      (1 - LongShare) * W.m_shortOutput + LongShare * W.m_longOutput;
  return Mean * Output / Rate;
}

double drawLogNormal(double Median, double Sigma, absl::BitGenRef Random) {
  return Median * std::exp(absl::Gaussian<double>(Random, 0, Sigma));
}

} // namespace turmericdyke::bench
