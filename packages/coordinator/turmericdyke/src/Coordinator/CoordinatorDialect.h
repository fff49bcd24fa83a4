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

/// An operator puts a routing document in force.
struct PutRoutingCall {
  std::string m_document;
};

/// An operator reads the routing document in force.
struct GetRoutingCall {};

/// A server says that it lives, and what it does.
struct AnnounceCall {
  ServerAnnouncement m_announcement;
};

/// A server says that it ends.
struct WithdrawCall {
  TargetId m_id;
};

/// A call that is not known, or that cannot be read.
struct WrongCall {
  int m_status = 404;
  std::string m_reason;
};

using ControlCall = std::variant<WrongCall, PutRoutingCall, GetRoutingCall,
                                 AnnounceCall, WithdrawCall>;

/// How operators and servers speak to a coordinator, and it to servers. Holds
/// names and formats only.
class CoordinatorDialect {
public:
  virtual ~CoordinatorDialect() = default;

  virtual ControlCall readCall(const HttpRequest &Request) const = 0;
  /// Reads a routing document; what is no document at all is an error too.
  virtual Result<Catalog, CatalogError>
  readCatalog(std::string_view Document) const = 0;
  /// The answer to an announcement: where later ones should go.
  virtual HttpResponse announced(std::string_view Address) const = 0;
  virtual HttpResponse document(std::string_view Document) const = 0;
  /// An answer with a text for the reader of a log.
  virtual HttpResponse error(int Status, std::string_view Reason) const = 0;
  /// An order as a whole request.
  virtual std::string orderBytes(const GroupOrder &Order,
                                 std::uint64_t Fence) const = 0;
  /// `Status` is 0 if there was no answer.
  virtual OrderResult readOrderAnswer(int Status) const = 0;
  /// A question that a server answers at once while it lives.
  virtual std::string questionBytes(const TargetId &Target,
                                    std::string_view Address) const = 0;
  /// Whether the answer comes from the server that was asked.
  virtual bool readLiveness(int Status) const = 0;
  /// What the answer to the question says of the server's state, if it does.
  virtual std::optional<ServerReport>
  readReport(std::string_view Body) const = 0;
};

} // namespace turmericdyke
