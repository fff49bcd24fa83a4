#include "turmericdyke/src/Edge/ControlServer.h"

#include <cassert>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Edge/ConnectionThreads.h"
#include "turmericdyke/src/Edge/ControlPort.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view KeyPrefix = "Bearer ";

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

ControlServer::ControlServer(EdgeServices &Services,
                             ControlServerOptions Options, std::string Name)
    : m_services(Services), m_options(std::move(Options)),
      m_name(std::move(Name)) {
  if (!m_options.m_keyHash.empty()) {
    m_key = KeyHash::parse(m_options.m_keyHash);
    assert(m_key && "settings are checked before a port is made");
  }
  m_server.new_task_queue = [Max = m_options.m_maxConnections] {
    return new ConnectionThreads(Max);
  };
  m_server.set_payload_max_length(m_options.m_maxBodyBytes);
  m_server.set_tcp_nodelay(true);
  m_server.set_socket_options([this](socket_t Socket) {
    httplib::default_socket_options(Socket);
    m_backlog.note(Socket);
  });
}

ControlServer::~ControlServer() { stop(); }

bool ControlServer::start() {
  if (m_options.m_port == 0)
    m_port = m_server.bind_to_any_port(m_options.m_host);
  else
    m_port = m_server.bind_to_port(m_options.m_host, m_options.m_port)
                 ? m_options.m_port
                 : -1;
  if (m_port <= 0 || !m_backlog.raise())
    return false;
  m_thread = std::thread([this] { m_server.listen_after_bind(); });
  return true;
}

void ControlServer::stop() {
  if (!m_thread.joinable())
    return;
  m_server.stop();
  m_thread.join();
}

bool ControlServer::authorised(const httplib::Request &Request,
                               httplib::Response &Response) {
  if (!m_key)
    return true;
  std::string Value = Request.get_header_value("Authorization");
  bool Bearer = Value.rfind(internal::KeyPrefix, 0) == 0;
  if (Bearer && m_key->matches(
                    std::string_view(Value).substr(internal::KeyPrefix.size())))
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
  m_server.Get(
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
  m_server.Post(
      "/v1/declaration", [this, &Control](const auto &Request, auto &Response) {
        if (authorised(Request, Response))
          internal::write(Control.applyDeclaration(Request.body), Response);
      });
  m_server.Get("/v1/history",
               [this, &Control](const auto &Request, auto &Response) {
                 if (authorised(Request, Response))
                   internal::write(Control.history(), Response);
               });
  m_server.Get("/v1/status",
               [this, &Control](const auto &Request, auto &Response) {
                 if (authorised(Request, Response))
                   internal::write(Control.status(), Response);
               });
  m_server.Post("/v1/drain",
                [this, &Control](const auto &Request, auto &Response) {
                  if (authorised(Request, Response))
                    internal::write(Control.drain(Request.body), Response);
                });
}

void ControlServer::addTargetRoutes(ControlPort &Control) {
  m_server.Post("/v1/targets/announce",
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
