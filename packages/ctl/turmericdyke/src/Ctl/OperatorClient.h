#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Ctl/CtlOptions.h"

namespace turmericdyke {

/// The outcome of a request. `NotSent` means that no node was reached; `Lost`
/// that a node may have acted on the request, but no usable answer arrived.
enum class SendOutcome { Answered, NotSent, Lost };

struct OperatorAnswer {
  SendOutcome m_outcome = SendOutcome::NotSent;
  /// HTTP status, if there was an answer.
  int m_status = 0;
  nlohmann::json m_body;
  /// Which node answered, or why none did.
  std::string m_detail;
};

/// A client of the operator port. Tries the nodes in the given order.
class OperatorClient {
public:
  explicit OperatorClient(const CtlOptions &Options);

  /// Fetches `Path` from the first node that answers.
  OperatorAnswer get(const std::string &Path) const;

  /// Sends a change. After a lost answer or a 503 the same body is sent to the
  /// next node, up to the maximum number of retries; the change identifier that
  /// `Body` must contain makes this idempotent. The outcome is `Lost` if a node
  /// may have acted on any of the requests and no conclusive answer arrived.
  OperatorAnswer change(const std::string &Path,
                        const nlohmann::json &Body) const;

private:
  OperatorAnswer send(const std::string &Node, const std::string &Path,
                      const std::string *Body) const;

  const CtlOptions &m_options;
};

/// Returns the string in `Field`, or an empty string if it is absent or of
/// another type.
std::string textField(const nlohmann::json &Object, std::string_view Field);

/// Returns the integer in `Field`, or -1 if it is absent or of another type.
std::int64_t numberField(const nlohmann::json &Object, std::string_view Field);

} // namespace turmericdyke
