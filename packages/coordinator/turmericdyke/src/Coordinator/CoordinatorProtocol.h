#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Catalog/CatalogValidation.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"
#include "turmericdyke/src/Groups/GroupPlanner.h"
#include "turmericdyke/src/Http/HttpMessage.h"

namespace turmericdyke {

/// An operator submits a routing document.
struct PutRoutingCall {
  std::string m_document;
};

/// An operator reads the routing document in force.
struct GetRoutingCall {};

/// A server announces that it is alive, and its state.
struct AnnounceCall {
  ServerAnnouncement m_announcement;
};

/// A server announces its end.
struct WithdrawCall {
  TargetId m_id;
};

/// An operator orders that nothing more is sent to the servers of a failure
/// domain, or revokes that.
struct EvacuationCall {
  FailureDomainId m_failureDomain;
  bool m_evacuated = false;
};

/// An operator asks which failure domains there are, and what runs there.
struct ListEvacuationsCall {};

/// An unknown call, or one that cannot be parsed.
struct InvalidCall {
  int m_status = 404;
  std::string m_reason;
};

using ControlCall =
    std::variant<InvalidCall, PutRoutingCall, GetRoutingCall, AnnounceCall,
                 WithdrawCall, EvacuationCall, ListEvacuationsCall>;

/// Translates between a coordinator and the formats of operators and servers.
/// Contains names and formats only.
class CoordinatorProtocol {
public:
  virtual ~CoordinatorProtocol() = default;

  virtual ControlCall readCall(const HttpRequest &Request) const = 0;
  /// Parses a routing document. Malformed input is an error too.
  virtual Result<Catalog, CatalogError>
  readCatalog(std::string_view Document) const = 0;
  /// The response to an announcement, which states the address for later ones.
  virtual HttpResponse announcementResponse(std::string_view Address) const = 0;
  virtual HttpResponse documentResponse(std::string_view Document) const = 0;
  /// An error response with a human-readable reason.
  virtual HttpResponse errorResponse(int Status,
                                     std::string_view Reason) const = 0;
  /// Encodes an order as a complete HTTP request.
  virtual std::string encodeOrder(const GroupOrder &Order,
                                  std::uint64_t Fence) const = 0;
  /// `Status` is 0 if there was no response.
  virtual OrderResult readOrderResult(int Status) const = 0;
  /// Encodes a probe as a complete HTTP request. A live server responds to it
  /// at once.
  virtual std::string encodeProbe(const TargetId &Target,
                                  std::string_view Address) const = 0;
  /// Whether the response shows that the probed server is alive.
  virtual bool isAlive(int Status) const = 0;
  /// Parses the server's state from the response to a probe, if it contains it.
  virtual std::optional<ServerReport>
  readReport(std::string_view Body) const = 0;
};

} // namespace turmericdyke
