#include "turmericdyke/src/Edge/ControlServer.h"

#include <cassert>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Edge/ControlPort.h"

namespace turmericdyke {

namespace internal {
namespace {

void write(const OperatorReply &Reply, httplib::Response &Response) {
  Response.status = Reply.m_status;
  Response.set_content(Reply.m_body, "application/json");
}

std::string errorJson(std::string_view Field, std::string_view Message) {
  return nlohmann::json{{"error", {{"field", Field}, {"message", Message}}}}
      .dump();
}

} // namespace
} // namespace internal

ControlServer::ControlServer(EdgeServices &Services, HttpPortOptions Options,
                             std::string_view KeyText, std::string Name)
    : m_services(Services), m_name(std::move(Name)),
      m_http(std::move(Options)) {
  if (KeyText.empty())
    return;
  m_key = KeyHash::parse(KeyText);
  assert(m_key && "settings are validated before a port is created");
}

bool ControlServer::authorised(const httplib::Request &Request,
                               httplib::Response &Response) {
  if (!m_key)
    return true;
  std::optional<std::string> Key = bearerKey(Request);
  if (Key && m_key->matches(*Key))
    return true;
  m_services.m_metrics.increment("turmericdyke_unauthorised_total",
                                 {{"port", m_name}});
  LogLine(LogLevel::Warning, "unauthorised")
      .field("port", m_name)
      .field("path", Request.path);
  Response.status = 401;
  Response.set_content(
      internal::errorJson("", "the key does not open this port"),
      "application/json");
  return false;
}

void ControlServer::addOperatorRoutes(ControlPort &Control) {
  m_http.server().Get(
      "/v1/declaration", [this, &Control](const auto &Request, auto &Response) {
        if (!authorised(Request, Response))
          return;
        std::optional<std::uint64_t> Revision;
        if (Request.has_param("revision")) {
          std::uint64_t Number = 0;
          if (!absl::SimpleAtoi(Request.get_param_value("revision"), &Number))
            return internal::write(
                {400, internal::errorJson("revision", "is not a number")},
                Response);
          Revision = Number;
        }
        internal::write(Control.declaration(Revision), Response);
      });
  m_http.server().Post(
      "/v1/declaration", [this, &Control](const auto &Request, auto &Response) {
        if (authorised(Request, Response))
          internal::write(Control.applyDeclaration(Request.body), Response);
      });
  m_http.server().Get("/v1/history",
                      [this, &Control](const auto &Request, auto &Response) {
                        if (authorised(Request, Response))
                          internal::write(Control.history(), Response);
                      });
  m_http.server().Get("/v1/status",
                      [this, &Control](const auto &Request, auto &Response) {
                        if (authorised(Request, Response))
                          internal::write(Control.status(), Response);
                      });
  m_http.server().Post(
      "/v1/drain", [this, &Control](const auto &Request, auto &Response) {
        if (authorised(Request, Response))
          internal::write(Control.drain(Request.body), Response);
      });
}

void ControlServer::addTargetRoutes(ControlPort &Control) {
  m_http.server().Post("/v1/targets/announce",
                       [this, &Control](const auto &Request, auto &Response) {
                         if (authorised(Request, Response))
                           onAnnouncement(Control, Request, Response);
                       });
}

void ControlServer::onAnnouncement(ControlPort &Control,
                                   const httplib::Request &Request,
                                   httplib::Response &Response) {
  nlohmann::json Body = nlohmann::json::parse(Request.body, nullptr, false);
  Result<TargetAnnouncement, FleetError> Parsed = parseTargetAnnouncement(Body);
  Result<void, FleetError> Taken = success();
  if (!Parsed)
    Taken = failure(Parsed.error());
  else
    Taken = Control.announce(Parsed.value());
  if (Taken) {
    Response.set_content("{\"accepted\":true}", "application/json");
    return;
  }
  m_services.m_metrics.increment("turmericdyke_announcements_refused_total");
  LogLine(LogLevel::Warning, "announcement_refused")
      .field("field", Taken.error().m_field)
      .field("reason", Taken.error().m_message);
  Response.status = 400;
  Response.set_content(
      internal::errorJson(Taken.error().m_field, Taken.error().m_message),
      "application/json");
}

} // namespace turmericdyke
