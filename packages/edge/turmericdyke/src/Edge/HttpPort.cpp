#include "turmericdyke/src/Edge/HttpPort.h"

#include "turmericdyke/src/Edge/ConnectionThreadPool.h"

namespace turmericdyke {

std::optional<std::string> bearerKey(const httplib::Request &Request) {
  constexpr std::string_view Prefix = "Bearer ";
  std::string Value = Request.get_header_value("Authorization");
  if (Value.rfind(Prefix, 0) != 0)
    return std::nullopt;
  return Value.substr(Prefix.size());
}

HttpPort::HttpPort(HttpPortOptions Options) : m_options(std::move(Options)) {
  m_server.new_task_queue = [Max = m_options.m_maxConnections] {
    return new ConnectionThreadPool(Max);
  };
  m_server.set_payload_max_length(m_options.m_maxBodyBytes);
  m_server.set_read_timeout(
      absl::ToChronoMilliseconds(m_options.m_readTimeout));
  m_server.set_write_timeout(
      absl::ToChronoMilliseconds(m_options.m_writeTimeout));
  m_server.set_tcp_nodelay(true);
  m_server.set_socket_options([this](socket_t Socket) {
    httplib::default_socket_options(Socket);
    m_backlog.setSocket(Socket);
  });
}

HttpPort::~HttpPort() { stop(); }

bool HttpPort::start() {
  const std::string &Host = m_options.m_host;
  if (m_options.m_port == 0)
    m_port = m_server.bind_to_any_port(Host);
  else
    m_port =
        m_server.bind_to_port(Host, m_options.m_port) ? m_options.m_port : -1;
  if (m_port <= 0 || !m_backlog.raise())
    return false;
  m_thread = std::thread([this] { m_server.listen_after_bind(); });
  return true;
}

void HttpPort::stop() {
  if (!m_thread.joinable())
    return;
  m_server.stop();
  m_thread.join();
}

} // namespace turmericdyke
