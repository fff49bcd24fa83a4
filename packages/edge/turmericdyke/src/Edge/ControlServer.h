#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <httplib.h>

#include "turmericdyke/src/Base/KeyHash.h"
#include "turmericdyke/src/Edge/EdgeServices.h"
#include "turmericdyke/src/Edge/HttpPort.h"

namespace turmericdyke {

class ControlPort;

/// An HTTP port with one bearer key: the base of the ports for targets and for
/// operators.
class ControlServer {
public:
  /// `KeyText` is the written key hash that requests must match; empty lets
  /// every request in.
  ControlServer(EdgeServices &Services, HttpPortOptions Options,
                std::string_view KeyText, std::string Name);

  bool start() { return m_http.start(); }
  int port() const { return m_http.port(); }
  void stop() { m_http.stop(); }

  /// Routes of the port for operators.
  void addOperatorRoutes(ControlPort &Control);
  /// Routes of the port for targets.
  void addTargetRoutes(ControlPort &Control);

private:
  bool authorised(const httplib::Request &Request, httplib::Response &Response);
  void onAnnouncement(ControlPort &Control, const httplib::Request &Request,
                      httplib::Response &Response);

  EdgeServices &m_services;
  std::string m_name;
  std::optional<KeyHash> m_key;
  /// Last, so that its threads end before what they use.
  HttpPort m_http;
};

} // namespace turmericdyke
