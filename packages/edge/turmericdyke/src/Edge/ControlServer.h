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

/// An HTTP port whose requests are authorised by a single bearer key. Serves as
/// the port for targets or for operators.
class ControlServer {
public:
  /// `KeyText` is the text form of the key hash that requests must match. If it
  /// is empty, no key is needed.
  ControlServer(EdgeServices &Services, HttpPortOptions Options,
                std::string_view KeyText, std::string Name);

  bool start() { return m_http.start(); }
  int port() const { return m_http.port(); }
  void stop() { m_http.stop(); }

  /// Adds the routes of the port for operators.
  void addOperatorRoutes(ControlPort &Control);
  /// Adds the routes of the port for targets.
  void addTargetRoutes(ControlPort &Control);

private:
  bool authorised(const httplib::Request &Request, httplib::Response &Response);
  void onAnnouncement(ControlPort &Control, const httplib::Request &Request,
                      httplib::Response &Response);

  EdgeServices &m_services;
  std::string m_name;
  std::optional<KeyHash> m_key;
  /// Declared last, so that its threads end before the members that they use
  /// are destroyed.
  HttpPort m_http;
};

} // namespace turmericdyke
