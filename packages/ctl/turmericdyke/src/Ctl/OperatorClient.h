#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "turmericdyke/src/Ctl/CtlOptions.h"

namespace turmericdyke {

/// What became of a request. `NotSent` means that no node was reached; `Lost`
/// that a node may have acted on the request although no answer tells.
enum class SendOutcome { Answered, NotSent, Lost };

struct OperatorAnswer {
  SendOutcome m_outcome = SendOutcome::NotSent;
  /// HTTP status, when answered.
  int m_status = 0;
  nlohmann::json m_body;
  /// Which node answered, or why none did.
  std::string m_detail;
};

/// Client of the operator port. Tries the nodes in their order.
class OperatorClient {
public:
  explicit OperatorClient(const CtlOptions &Options);

  /// Reads `Path` from the first node that answers.
  OperatorAnswer get(const std::string &Path) const;

  /// Sends a change. After a lost answer or a 503 the same body is sent again,
  /// to the next node, up to the number of retries; `Body` must hold a change
  /// identifier so that this is safe. The answer is `Lost` if any send may have
  /// been acted on and none was answered for certain.
  OperatorAnswer change(const std::string &Path,
                        const nlohmann::json &Body) const;

private:
  OperatorAnswer send(const std::string &Node, const std::string &Path,
                      const std::string *Body) const;

  const CtlOptions &m_options;
};

/// The text under `Field`, or empty text when it is absent or of another type.
std::string textField(const nlohmann::json &Object, std::string_view Field);

/// The number under `Field`, or -1 when it is absent or of another type.
std::int64_t numberField(const nlohmann::json &Object, std::string_view Field);

} // namespace turmericdyke
