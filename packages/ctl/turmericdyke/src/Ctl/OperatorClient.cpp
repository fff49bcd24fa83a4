#include "turmericdyke/src/Ctl/OperatorClient.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <fmt/format.h>
#include <httplib.h>

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/HttpSyntax.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration ConnectTimeout = absl::Seconds(2);
constexpr absl::Duration MaxRetryDelay = absl::Seconds(2);
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusInvalid = 422;
constexpr int FirstServerError = 500;

struct NodeAddress {
  std::string m_host;
  int m_port = 0;
};

/// Parses `ip:port` or `[ip]:port`. The port is 0 if the text is malformed.
NodeAddress parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return {};
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  NodeAddress Address;
  Address.m_host = Host;
  if (!absl::SimpleAtoi(absl::string_view(Port.data(), Port.size()),
                        &Address.m_port) ||
      Address.m_port < 1 || Address.m_port > 65535)
    Address.m_port = 0;
  return Address;
}

/// Whether the connection could not be established, so that nothing was sent.
bool isConnectFailure(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::BindIPAddress;
}

/// Whether the answer gives the final outcome of a change. If a node may have
/// acted on an earlier request, only an answer about the change itself is
/// conclusive, and not, for example, a 401.
bool isFinal(const OperatorAnswer &Answer, bool MayHaveRun) {
  if (Answer.m_outcome != SendOutcome::Answered)
    return false;
  bool AboutChange = Answer.m_status == StatusOk ||
                     Answer.m_status == StatusConflict ||
                     Answer.m_status == StatusInvalid;
  return AboutChange || (Answer.m_status < FirstServerError && !MayHaveRun);
}

bool confirmsNotRun(const OperatorAnswer &Answer) {
  return Answer.m_outcome == SendOutcome::Answered &&
         (Answer.m_status < FirstServerError ||
          textField(Answer.m_body, "outcome") == "not_run");
}

std::chrono::microseconds toMicroseconds(absl::Duration Value) {
  return std::chrono::microseconds(absl::ToInt64Microseconds(Value));
}

} // namespace
} // namespace internal

OperatorClient::OperatorClient(const CtlOptions &Options)
    : m_options(Options) {}

OperatorAnswer OperatorClient::send(const std::string &Node,
                                    const std::string &Path,
                                    const std::string *Body) const {
  OperatorAnswer Answer;
  internal::NodeAddress Address = internal::parseAddress(Node);
  if (Address.m_port == 0) {
    Answer.m_detail =
        fmt::format("{}: not an address of the form ip:port", Node);
    return Answer;
  }
  // From here on, any failure counts as lost unless it is certain that nothing
  // was sent.
  Answer.m_outcome = SendOutcome::Lost;
  try {
    httplib::Client Client(Address.m_host, Address.m_port);
    Client.set_connection_timeout(
        internal::toMicroseconds(internal::ConnectTimeout));
    Client.set_read_timeout(internal::toMicroseconds(m_options.m_timeout));
    Client.set_write_timeout(internal::toMicroseconds(m_options.m_timeout));
    // A coordinator that does not lead redirects to the one that does.
    Client.set_follow_location(true);
    // A node that listens only on loopback may need no key.
    httplib::Headers Headers;
    if (!m_options.m_operatorKey.empty())
      Headers.emplace("Authorization",
                      fmt::format("Bearer {}", m_options.m_operatorKey));
    httplib::Result Got =
        Body == nullptr ? Client.Get(Path, Headers)
                        : Client.Post(Path, Headers, *Body, "application/json");
    if (!Got) {
      if (internal::isConnectFailure(Got.error()))
        Answer.m_outcome = SendOutcome::NotSent;
      Answer.m_detail =
          fmt::format("{}: {}", Node, httplib::to_string(Got.error()));
      return Answer;
    }
    if (!isFinalResponse(Got->status, Got->headers)) {
      Answer.m_detail = fmt::format("{}: not an HTTP response", Node);
      return Answer;
    }
    Answer.m_status = Got->status;
    Answer.m_body = nlohmann::json::parse(Got->body, nullptr, false);
  } catch (const std::exception &Error) {
    Answer.m_detail = fmt::format("{}: {}", Node, Error.what());
    return Answer;
  }
  Answer.m_detail = fmt::format("{}: HTTP status {}", Node, Answer.m_status);
  // A success status without a readable body does not give the outcome of a
  // change.
  if (Answer.m_status == internal::StatusOk && !Answer.m_body.is_object())
    return Answer;
  Answer.m_outcome = SendOutcome::Answered;
  return Answer;
}

OperatorAnswer OperatorClient::get(const std::string &Path) const {
  OperatorAnswer Last;
  Last.m_detail = "no nodes given";
  std::string Details;
  for (const std::string &Node : m_options.m_nodes) {
    OperatorAnswer Answer = send(Node, Path, nullptr);
    bool Usable = Answer.m_outcome == SendOutcome::Answered &&
                  Answer.m_status < internal::FirstServerError;
    if (Usable)
      return Answer;
    Details +=
        fmt::format("{}{}", Details.empty() ? "" : "; ", Answer.m_detail);
    // An answer, even an error, is more informative than a node that was not
    // reached.
    if (Last.m_outcome != SendOutcome::Answered)
      Last = std::move(Answer);
  }
  if (!Details.empty())
    Last.m_detail = Details;
  return Last;
}

OperatorAnswer OperatorClient::change(const std::string &Path,
                                      const nlohmann::json &Body) const {
  const std::string Text = Body.dump();
  OperatorAnswer Last;
  Last.m_detail = "no nodes given";
  bool MayHaveRun = false;
  absl::Duration Delay = m_options.m_retryDelay;
  int Resends = 0;
  while (true) {
    bool Reached = false;
    for (const std::string &Node : m_options.m_nodes) {
      OperatorAnswer Answer = send(Node, Path, &Text);
      if (internal::isFinal(Answer, MayHaveRun))
        return Answer;
      if (Answer.m_outcome == SendOutcome::NotSent) {
        if (Last.m_outcome == SendOutcome::NotSent)
          Last.m_detail = Answer.m_detail;
        continue;
      }
      Reached = true;
      MayHaveRun = MayHaveRun || !internal::confirmsNotRun(Answer);
      Last = std::move(Answer);
      if (MayHaveRun)
        Last.m_outcome = SendOutcome::Lost;
      if (++Resends > m_options.m_retries)
        return Last;
      absl::SleepFor(Delay);
      Delay = std::min(Delay * 2, internal::MaxRetryDelay);
    }
    // If no node was reached at all, nothing was sent, and retrying would
    // clarify nothing.
    if (Last.m_outcome == SendOutcome::NotSent)
      return Last;
    if (!Reached && ++Resends > m_options.m_retries)
      return Last;
    if (!Reached)
      absl::SleepFor(Delay);
  }
}

std::string textField(const nlohmann::json &Object, std::string_view Field) {
  if (!Object.is_object())
    return "";
  auto Found = Object.find(std::string(Field));
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : "";
}

std::int64_t numberField(const nlohmann::json &Object, std::string_view Field) {
  if (!Object.is_object())
    return -1;
  auto Found = Object.find(std::string(Field));
  return Found != Object.end() && Found->is_number_integer()
             ? Found->get<std::int64_t>()
             : -1;
}

} // namespace turmericdyke
