#pragma once

#include <optional>
#include <string>
#include <thread>

#include <httplib.h>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/ListenBacklog.h"

namespace turmericdyke {

/// Returns the key of the header `Authorization: Bearer KEY`, if there is one.
std::optional<std::string> bearerKey(const httplib::Request &Request);

struct HttpPortOptions {
  std::string m_host = "127.0.0.1";
  /// If 0, the system chooses the port.
  int m_port = 0;
  /// Maximum number of concurrent connections; each uses one thread.
  std::size_t m_maxConnections = 64;
  std::size_t m_maxBodyBytes = 4 << 20;
  absl::Duration m_readTimeout = absl::Seconds(5);
  absl::Duration m_writeTimeout = absl::Seconds(5);
};

/// An HTTP server with its own accept thread and a thread pool for connections.
class HttpPort {
public:
  explicit HttpPort(HttpPortOptions Options);
  ~HttpPort();
  HttpPort(const HttpPort &) = delete;
  HttpPort &operator=(const HttpPort &) = delete;

  /// Gives access to the server, so that routes can be added before the start.
  httplib::Server &server() { return m_server; }
  /// Binds the port. Returns false if it cannot be bound.
  bool start();
  /// Closes the port and waits for the requests in flight.
  void stop();
  int port() const { return m_port; }

private:
  HttpPortOptions m_options;
  ListenBacklog m_backlog;
  httplib::Server m_server;
  std::thread m_thread;
  int m_port = 0;
};

} // namespace turmericdyke
