#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Fleet/ModelArrivals.h"

namespace turmericdyke {

/// Sums arrivals by service and model until they are reported.
class ArrivalCounts {
public:
  /// Negative numbers count as 0. Sums stop growing at 10^15, so that no
  /// reported number can make them overflow. Arrivals that a message between
  /// nodes cannot hold are left out: those with longer names, and those of more
  /// than 512 models.
  void add(const ModelArrivals &Arrivals);
  void add(absl::Span<const ModelArrivals> Arrivals);
  /// The sums since the last call.
  std::vector<ModelArrivals> take();

private:
  std::map<std::pair<ServiceId, std::string>, ModelArrivals> m_sums;
};

} // namespace turmericdyke
