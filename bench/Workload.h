#pragma once

#include <string_view>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "turmericdyke/Declaration"

namespace turmericdyke::bench {

/// A fleet of equal replicas and its callers. The figures are assumptions of
/// the usual size for such engines, not measurements of a user's fleet.
struct Workload {
  std::string_view m_name;
  int m_replicas;
  int m_slots;
  /// Tokens that the requests running on one replica may hold in its KV cache.
  double m_cacheTokens;
  /// Tokens per second of one replica, and of one request that runs alone.
  double m_prefillRate;
  double m_decodeRate;
  /// Batch size at which a request decodes at half of that speed.
  double m_halfBatch;
  /// Medians, in tokens.
  double m_shortPrompt;
  double m_shortOutput;
  double m_longPrompt;
  double m_longOutput;
  absl::Duration m_firstTokenDeadline;
};

const std::vector<Workload> &workloads();

constexpr std::int64_t LongTokens = 2048;
/// Tokens of the prefix that the prompts of a customer share.
constexpr double PrefixTokens = 500;

/// Ten customers of unequal size. Capacity held adds up to three quarters of
/// the slots, and each may borrow up to half of all.
std::vector<Customer> makeCustomers(const Workload &W);

/// Share of the requests that each customer sends. The third one sends five
/// times its part by size.
std::vector<double> trafficShares(const std::vector<Customer> &Customers);

/// Load as a multiple of capacity: 0.3, rising to 3 within 2 s every 20 s.
double loadFactor(double Second);

/// Seconds for which a request holds a slot of a full replica, on average.
double meanService(const Workload &W, double LongShare);

double drawLogNormal(double Median, double Sigma, absl::BitGenRef Random);

} // namespace turmericdyke::bench
