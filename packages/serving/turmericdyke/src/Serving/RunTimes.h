#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// Mean run time of completed requests per service and model, as a moving
/// average over about the last sixteen.
class RunTimes {
public:
  void recordRun(const ServiceId &Service, std::string_view Model,
                 absl::Duration RunTime);
  /// Zero if no request has completed yet.
  absl::Duration mean(const ServiceId &Service, std::string_view Model) const;

private:
  std::map<std::pair<ServiceId, std::string>, absl::Duration> m_means;
};

} // namespace turmericdyke
