#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Fleet/FleetError.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// An answer of the control side to an operator: HTTP status and JSON body.
struct OperatorReply {
  int m_status = 200;
  std::string m_body;
};

/// What the HTTP ports ask of the control side. Calls come from connection
/// threads and may wait for a commit, within the bound that the implementation
/// states.
class ControlPort {
public:
  virtual ~ControlPort() = default;

  virtual OperatorReply declaration(std::optional<std::uint64_t> Revision) = 0;
  virtual OperatorReply applyDeclaration(std::string_view Body) = 0;
  virtual OperatorReply history() = 0;
  virtual OperatorReply status() = 0;
  virtual OperatorReply drain(std::string_view Body) = 0;
  /// Takes an announcement; an error when it contradicts what is known of the
  /// target.
  virtual Result<void, FleetError>
  announce(const TargetAnnouncement &Announcement) = 0;
};

} // namespace turmericdyke
