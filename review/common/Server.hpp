// A stand-in for a server of a service without an engine. It announces itself,
// runs requests, states what the pages ask of a sound server, and can crash,
// leave and come back.
#pragma once

#include <set>

#include "Deployment.hpp"

namespace review {

// One request that reached a server.
struct Arrival {
  double At = 0;
  std::string Id;
  std::string Target;
  std::string Server;
  bool Ran = false;
  double Ended = -1;
};

class Server {
public:
  struct Options {
    std::string Service = "desk";
    int WorkMs = 15;
    int Slots = 6;
    // Whether a request crashes the server that begins to run it.
    std::function<bool(const Message &)> Crashes = [](const Message &) {
      return false;
    };
    // How long a crashed server is away.
    double AwayS = 2.5;
    // The heartbeat that is late on its way, by its number, and by how much.
    std::uint64_t LateBeat = 0;
    double LateByS = 0;
  };

  Server(Deployment &System, Record &Log, int Number, Options Chosen)
      : m_system(System), m_log(Log), m_options(std::move(Chosen)),
        m_address(System.ip(100 + Number) + ":" +
                  std::to_string(Ports::Server)),
        m_number(Number) {
    start();
    m_beats = std::thread([this] { beat(); });
  }
  ~Server() {
    m_ending = true;
    m_beats.join();
    if (m_late.joinable())
      m_late.join();
    stop();
    for (std::thread &Each : m_threads)
      Each.join();
  }

  std::string id() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_id;
  }
  std::vector<Arrival> arrivals() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_arrivals;
  }
  std::vector<double> crashes() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_crashes;
  }
  std::uint64_t sequence() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_sequence;
  }

  // The server states its end. It goes on serving and sends no further
  // heartbeat. Returns whether the call was acknowledged.
  bool deregister(const std::string &Coordinator) {
    std::string Id = id();
    m_leaving = true;
    for (int Try = 0; Try < 10; ++Try) {
      std::optional<Message> Answer = callControl(
          Coordinator, "POST", "/Instances.Deregister/" + Id, "", 1.0);
      m_log.line("%s: POST /Instances.Deregister -> %d", Id.c_str(),
                 Answer ? Answer->status() : 0);
      if (Answer && Answer->status() / 100 == 2)
        return true;
    }
    return false;
  }

  // The process exits: its listener and connections are closed.
  void exit() {
    m_log.line("%s exits", id().c_str());
    stop();
  }

private:
  void start() {
    std::lock_guard<std::mutex> Lock(m_lock);
    ++m_life;
    m_id = "i-" + std::to_string(m_number) + "-" + std::to_string(m_life);
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_sequence = 0;
    m_listener = listenOn(m_address);
    if (m_listener < 0)
      throw std::runtime_error("cannot listen on " + m_address);
    m_running = 0;
    m_threads.emplace_back(
        [this, Life = m_life, File = m_listener] { accept(File, Life); });
    m_log.line("server %s starts at %s", m_id.c_str(), m_address.c_str());
  }

  // Closes everything that belongs to this life, as the end of a process does.
  void stop() {
    std::lock_guard<std::mutex> Lock(m_lock);
    if (m_listener >= 0) {
      shutdown(m_listener, SHUT_RDWR);
      close(m_listener);
      m_listener = -1;
    }
    for (int File : m_connections)
      shutdown(File, SHUT_RDWR);
    ++m_life;
  }

  bool alive(int Life) {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_life == Life;
  }

  void accept(int Listener, int Life) {
    for (;;) {
      int File = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (File < 0)
        return;
      int On = 1;
      setsockopt(File, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::lock_guard<std::mutex> Lock(m_lock);
      if (m_life != Life) {
        close(File);
        return;
      }
      m_connections.insert(File);
      m_threads.emplace_back([this, File, Life] { serve(File, Life); });
    }
  }

  void serve(int File, int Life) {
    Reader Input(File);
    constexpr auto Idle = std::chrono::seconds(8);
    while (alive(Life)) {
      std::optional<Message> Request = Input.read(Clock::now() + Idle);
      if (!Request || !alive(Life) || !answer(File, *Request, Life))
        break;
    }
    std::lock_guard<std::mutex> Lock(m_lock);
    m_connections.erase(File);
    close(File);
  }

  bool answer(int File, const Message &Request, int Life) {
    std::string Id = Request.field("request-id");
    std::string Head = "Request-Id: " + Id + "\r\nKeep-Alive: timeout=8\r\n";
    std::string Own = id();
    if (Request.target() == "/healthz")
      return sendAll(File, "HTTP/1.1 200 OK\r\nInstance-Id: " + Own +
                               "\r\nContent-Length: 0\r\n\r\n");
    if (!Request.field("expect-instance").empty() &&
        Request.field("expect-instance") != Own)
      return sendAll(File, "HTTP/1.1 421 Misdirected Request\r\n" + Head +
                               "Content-Length: 0\r\n\r\n");
    if (m_running.fetch_add(1) >= m_options.Slots * 2) {
      --m_running;
      return sendAll(File, "HTTP/1.1 503 Service Unavailable\r\n" + Head +
                               "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    std::size_t Index = 0;
    {
      std::lock_guard<std::mutex> Lock(m_lock);
      Index = m_arrivals.size();
      m_arrivals.push_back({m_log.now(), Id, Request.target(), Own, true, -1});
    }
    if (m_options.Crashes(Request)) {
      crash(Id);
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(m_options.WorkMs));
    --m_running;
    if (!alive(Life))
      return false;
    {
      std::lock_guard<std::mutex> Lock(m_lock);
      m_arrivals[Index].Ended = m_log.now();
    }
    std::string Body = "done " + Id;
    return sendAll(
        File, "HTTP/1.1 200 OK\r\n" + Head + "Server-Signature: " + Own + "." +
                  Id + "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body);
  }

  void crash(const std::string &Id) {
    m_log.line("server %s begins to run %s and crashes", id().c_str(),
               Id.c_str());
    stop();
    std::lock_guard<std::mutex> Lock(m_lock);
    m_crashes.push_back(m_log.now());
    m_backAt = m_log.now() + m_options.AwayS;
  }

  std::string beatBody(std::uint64_t Sequence) {
    std::lock_guard<std::mutex> Lock(m_lock);
    return "{\"service\":\"" + m_options.Service + "\",\"address\":\"" +
           m_address + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" +
           std::to_string(m_options.Slots) +
           ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":" +
           std::to_string(Sequence) + ",\"born\":" + std::to_string(m_born) +
           "}";
  }

  void sendBeat(std::string First, const std::string &Id,
                const std::string &Body, std::uint64_t Sequence) {
    for (std::size_t Try = 0; Try <= m_system.cores(); ++Try) {
      std::optional<Message> Answer =
          callControl(First, "POST", "/Instances.Heartbeat/" + Id, Body, 1.0);
      if (Sequence <= 2 || Sequence == m_options.LateBeat)
        m_log.line("%s: heartbeat %llu to %s -> %d", Id.c_str(),
                   static_cast<unsigned long long>(Sequence), First.c_str(),
                   Answer ? Answer->status() : 0);
      if (Answer && Answer->status() / 100 == 2) {
        std::size_t Named = Answer->Body.find("heartbeat-address\":\"");
        std::lock_guard<std::mutex> Lock(m_lock);
        if (Named != std::string::npos) {
          Named += 20;
          m_beatAddress =
              Answer->Body.substr(Named, Answer->Body.find('"', Named) - Named);
        }
        return;
      }
      First = m_system
                  .core((static_cast<std::size_t>(m_number) + Try) %
                        m_system.cores())
                  .control();
    }
  }

  void beat() {
    double Next = m_log.now();
    while (!m_ending) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      if (m_backAt > 0 && m_log.now() >= m_backAt) {
        m_backAt = 0;
        start();
        Next = m_log.now();
      }
      if (m_backAt > 0 || m_leaving || m_log.now() < Next)
        continue;
      Next = m_log.now() + 1.2;
      std::uint64_t Sequence = 0;
      std::string First;
      {
        std::lock_guard<std::mutex> Lock(m_lock);
        Sequence = ++m_sequence;
        First = m_beatAddress.empty()
                    ? m_system
                          .core(static_cast<std::size_t>(m_number) %
                                m_system.cores())
                          .control()
                    : m_beatAddress;
      }
      std::string Id = id();
      std::string Body = beatBody(Sequence);
      if (Sequence != m_options.LateBeat) {
        sendBeat(First, Id, Body, Sequence);
        continue;
      }
      m_log.line("%s: heartbeat %llu is sent to %s and is %.1f s late on its "
                 "way",
                 Id.c_str(), static_cast<unsigned long long>(Sequence),
                 First.c_str(), m_options.LateByS);
      m_late = std::thread([=, this] {
        double Until = m_log.now() + m_options.LateByS;
        while (!m_ending && m_log.now() < Until)
          std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (!m_ending)
          sendBeat(First, Id, Body, Sequence);
      });
    }
  }

  Deployment &m_system;
  Record &m_log;
  Options m_options;
  std::string m_address;
  int m_number;
  std::mutex m_lock;
  int m_life = 0;
  std::string m_id;
  long long m_born = 0;
  std::uint64_t m_sequence = 0;
  int m_listener = -1;
  std::set<int> m_connections;
  std::vector<std::thread> m_threads;
  std::vector<Arrival> m_arrivals;
  std::vector<double> m_crashes;
  std::string m_beatAddress;
  std::atomic<int> m_running{0};
  std::atomic<bool> m_ending{false};
  std::atomic<bool> m_leaving{false};
  std::atomic<double> m_backAt{0};
  std::thread m_beats;
  std::thread m_late;
};

// Clients that send one request after the other, each on a connection of its
// own that it keeps.
class Clients {
public:
  struct Sent {
    double At = 0;
    std::string Id;
    std::string Path;
    int Status = 0;
    double Answered = 0;
  };

  // `Count` clients with a pause of `PauseMs` between requests. `Path` gives
  // the path of the request with that number.
  Clients(Deployment &System, Record &Log, int Count, int PauseMs,
          std::function<std::string(int)> Path)
      : m_system(System), m_log(Log), m_path(std::move(Path)) {
    for (int At = 0; At < Count; ++At)
      m_threads.emplace_back([this, At, PauseMs] { run(At, PauseMs); });
  }
  ~Clients() { stop(); }
  void stop() {
    m_ending = true;
    for (std::thread &Each : m_threads)
      if (Each.joinable())
        Each.join();
  }
  std::vector<Sent> sent() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_sent;
  }

  // A request as clients send it.
  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Body, bool Close) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + Id +
           "\r\nRequest-Deadline: 1000\r\nAuthorization: Bearer key-1\r\n"
           "Content-Length: " +
           std::to_string(Body.size()) + "\r\n" +
           (Close ? "Connection: close\r\n" : "") + "\r\n" + Body;
  }

private:
  void run(int Client, int PauseMs) {
    int File = -1;
    std::optional<Reader> Input;
    for (int At = 0; !m_ending; ++At) {
      int Number = Client * 100000 + At;
      std::string Id = "c" + std::to_string(Number);
      std::string Path = m_path(Number);
      Sent Each{m_log.now(), Id, Path, 0, 0};
      if (File < 0) {
        File = connectTo(
            m_system.edge(static_cast<std::size_t>(Client) % m_system.edges())
                .frontend(),
            1.0);
        if (File >= 0)
          Input.emplace(File);
      }
      std::optional<Message> Answer;
      if (File >= 0 && sendAll(File, request(Path, Id, "order " + Id, false)))
        Answer = Input->read(Clock::now() + std::chrono::milliseconds(1500));
      Each.Answered = m_log.now();
      Each.Status = Answer ? Answer->status() : 0;
      if (File >= 0 && (!Answer || Answer->field("connection") == "close")) {
        close(File);
        File = -1;
      }
      {
        std::lock_guard<std::mutex> Lock(m_lock);
        m_sent.push_back(Each);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(PauseMs));
    }
    if (File >= 0)
      close(File);
  }

  Deployment &m_system;
  Record &m_log;
  std::function<std::string(int)> m_path;
  std::atomic<bool> m_ending{false};
  std::mutex m_lock;
  std::vector<Sent> m_sent;
  std::vector<std::thread> m_threads;
};

// A configuration with one service and two routes to it.
inline std::string deskConfig(int Version) {
  return "{\"version\":" + std::to_string(Version) +
         ",\"routes\":[{\"name\":\"r-place\",\"host\":\"desk.example\","
         "\"path-prefix\":\"/place/\",\"route-type\":\"non_idempotent\","
         "\"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,"
         "\"service\":\"desk\",\"max-attempts\":2,\"public\":false},"
         "{\"name\":\"r-status\",\"host\":\"desk.example\","
         "\"path-prefix\":\"/status/\",\"route-type\":\"idempotent\","
         "\"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,"
         "\"service\":\"desk\",\"max-attempts\":2,\"public\":false}],"
         "\"services\":[{\"name\":\"desk\",\"health-path\":\"/healthz\","
         "\"max-connections\":52,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

inline bool troubled() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review
