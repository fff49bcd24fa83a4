#pragma once

#include <string>
#include <thread>

#include <httplib.h>

#include "turmericdyke/src/Base/KeyHash.h"
#include "turmericdyke/src/Base/ListenBacklog.h"
#include "turmericdyke/src/Edge/EdgeServices.h"

namespace turmericdyke {

class ControlPort;

struct ControlServerOptions {
  std::string m_host = "127.0.0.1";
  int m_port = 0;
  /// Written key hash that requests must match; empty lets every request in.
  std::string m_keyHash;
  std::size_t m_maxConnections = 64;
  std::size_t m_maxBodyBytes = 4 << 20;
};

/// An HTTP port with one bearer key: the base of the ports for targets and for
/// operators.
class ControlServer {
public:
  ControlServer(EdgeServices &Services, ControlServerOptions Options,
                std::string Name);
  ~ControlServer();

  bool start();
  int port() const { return m_port; }
  void stop();

  /// Routes of the port for operators.
  void addOperatorRoutes(ControlPort &Control);
  /// Routes of the port for targets.
  void addTargetRoutes(ControlPort &Control);

private:
  bool authorised(const httplib::Request &Request, httplib::Response &Response);
  void onAnnouncement(ControlPort &Control, const httplib::Request &Request,
                      httplib::Response &Response);

  EdgeServices &m_services;
  ControlServerOptions m_options;
  std::string m_name;
  std::optional<KeyHash> m_key;
  ListenBacklog m_backlog;
  httplib::Server m_server;
  std::thread m_thread;
  int m_port = 0;
};

} // namespace turmericdyke
