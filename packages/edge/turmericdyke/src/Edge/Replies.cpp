#include "turmericdyke/src/Edge/Replies.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace turmericdyke {

std::string errorBody(const ErrorReply &Reply, const RequestId &Request) {
  nlohmann::json Error = {{"type", Reply.m_type},
                          {"message", Reply.m_message},
                          {"outcome", nameOf(Reply.m_outcome)},
                          {"request", Request.str()}};
  return nlohmann::json{{"error", std::move(Error)}}.dump();
}

void writeError(const ErrorReply &Reply, const RequestId &Request,
                httplib::Response &Response) {
  Response.status = Reply.m_status;
  Response.set_header("X-Turmericdyke-Outcome",
                      std::string(nameOf(Reply.m_outcome)));
  if (Reply.m_retryAfter) {
    double Seconds =
        std::max(1.0, std::ceil(absl::ToDoubleSeconds(*Reply.m_retryAfter)));
    Response.set_header("Retry-After", fmt::format("{:.0f}", Seconds));
  }
  Response.set_content(errorBody(Reply, Request), "application/json");
}

} // namespace turmericdyke
