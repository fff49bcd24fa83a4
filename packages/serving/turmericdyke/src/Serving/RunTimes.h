#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// How long answered requests run at the targets of a service and model, as a
/// running mean of about the last sixteen.
class RunTimes {
public:
  void ended(const ServiceId &Service, std::string_view Model,
             absl::Duration Run);
  /// Zero if none has been answered yet.
  absl::Duration mean(const ServiceId &Service, std::string_view Model) const;

private:
  std::map<std::pair<ServiceId, std::string>, absl::Duration> m_means;
};

} // namespace turmericdyke
