// Stand-ins and tools of the cases in review/6 to review/10: clients, servers, the operator and the platform that
// starts and ends processes. They use plain sockets and nothing of the project, so that they judge only what clients,
// servers and the operator can see.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace lab {

using Json = nlohmann::json;

inline double now() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start).count();
}
inline void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Exits with 2: the case could not run.
[[noreturn]] void cannotRun(const std::string &Why);

/// Lines of record.txt, each with the seconds since the start.
class Record {
public:
  static Record &get() {
    static Record Only;
    return Only;
  }
  void open(const std::string &Path) { m_file = std::fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    char Text[1024];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof Text, Format, Arguments);
    va_end(Arguments);
    std::lock_guard Lock(m_lock);
    if (m_file == nullptr)
      return;
    std::fprintf(m_file, "%8.3f %s\n", now(), Text);
    std::fflush(m_file);
  }

private:
  std::mutex m_lock;
  std::FILE *m_file = nullptr;
};
#define RECORD(...) ::lab::Record::get().line(__VA_ARGS__)

// ---- sockets ----

inline sockaddr_in endpoint(const std::string &Address) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  std::size_t Colon = Address.rfind(':');
  Where.sin_port = htons(static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Where.sin_addr);
  return Where;
}

inline int listenAt(const std::string &Address) {
  int File = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(File, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Where = endpoint(Address);
  if (bind(File, reinterpret_cast<sockaddr *>(&Where), sizeof Where) != 0 || listen(File, 128) != 0) {
    ::close(File);
    return -1;
  }
  return File;
}

/// A connection with a time limit for each step; -1 if there is none in time.
inline int connectTo(const std::string &Address, double Seconds) {
  int File = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Where = endpoint(Address);
  int Done = connect(File, reinterpret_cast<sockaddr *>(&Where), sizeof Where);
  if (Done != 0) {
    pollfd Ready{File, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof Error;
    if (errno != EINPROGRESS || poll(&Ready, 1, static_cast<int>(Seconds * 1000)) != 1 ||
        getsockopt(File, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 || Error != 0) {
      ::close(File);
      return -1;
    }
  }
  int Flags = fcntl(File, F_GETFL);
  fcntl(File, F_SETFL, Flags & ~O_NONBLOCK);
  int On = 1;
  setsockopt(File, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return File;
}

inline bool sendAll(int File, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = ::send(File, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads until `Until` (on the clock of now()); 0 at the end, -1 on an error or in time-out.
inline ssize_t readSome(int File, std::string &Into, double Until) {
  double Left = Until - now();
  pollfd Ready{File, POLLIN, 0};
  if (Left <= 0 || poll(&Ready, 1, static_cast<int>(Left * 1000) + 1) != 1)
    return -1;
  char Buffer[16384];
  ssize_t Count = recv(File, Buffer, sizeof Buffer, 0);
  if (Count > 0)
    Into.append(Buffer, static_cast<std::size_t>(Count));
  return Count;
}

// ---- HTTP ----

struct Message {
  /// The request line or the status line.
  std::string m_line;
  std::map<std::string, std::string> m_fields; // names in lower case
  std::string m_body;

  std::string field(const std::string &Name) const {
    auto Found = m_fields.find(Name);
    return Found == m_fields.end() ? std::string() : Found->second;
  }
  int status() const { return m_line.size() > 12 ? std::atoi(m_line.c_str() + 9) : 0; }
  std::string method() const { return m_line.substr(0, m_line.find(' ')); }
  std::string path() const {
    std::size_t From = m_line.find(' ') + 1;
    return m_line.substr(From, m_line.find(' ', From) - From);
  }
};

inline bool parseHead(const std::string &Text, Message &Into) {
  std::size_t At = Text.find("\r\n");
  Into.m_line = Text.substr(0, At);
  while (At != std::string::npos && At + 2 < Text.size()) {
    std::size_t From = At + 2;
    At = Text.find("\r\n", From);
    std::string Line = Text.substr(From, At - From);
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    for (char &C : Name)
      C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
    std::size_t Begin = Line.find_first_not_of(" \t", Colon + 1);
    Into.m_fields[Name] = Begin == std::string::npos ? "" : Line.substr(Begin);
  }
  return !Into.m_line.empty();
}

/// Reads a message from `File`. `Input` holds what was read ahead. `OnBody` is called with the decoded parts of the
/// body as they arrive. Returns whether the message is complete.
inline bool readMessage(int File, std::string &Input, double Until, Message &Into,
                        const std::function<void(const std::string &)> &OnBody = {}) {
  std::size_t HeadEnd;
  while ((HeadEnd = Input.find("\r\n\r\n")) == std::string::npos)
    if (readSome(File, Input, Until) <= 0)
      return false;
  if (!parseHead(Input.substr(0, HeadEnd + 2), Into))
    return false;
  Input.erase(0, HeadEnd + 4);
  auto Deliver = [&](const std::string &Part) {
    Into.m_body += Part;
    if (OnBody && !Part.empty())
      OnBody(Part);
  };
  if (Into.field("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t LineEnd;
      while ((LineEnd = Input.find("\r\n")) == std::string::npos)
        if (readSome(File, Input, Until) <= 0)
          return false;
      std::size_t Size = std::strtoul(Input.c_str(), nullptr, 16);
      while (Input.size() < LineEnd + 2 + Size + 2)
        if (readSome(File, Input, Until) <= 0)
          return false;
      Deliver(Input.substr(LineEnd + 2, Size));
      Input.erase(0, LineEnd + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }
  std::size_t Length = std::strtoul(Into.field("content-length").c_str(), nullptr, 10);
  while (Input.size() < Length)
    if (readSome(File, Input, Until) <= 0)
      return false;
  Deliver(Input.substr(0, Length));
  Input.erase(0, Length);
  return true;
}

struct Reply {
  /// 0 if no whole answer came.
  int m_status = 0;
  bool m_connected = false;
  bool m_whole = false;
  Message m_message;
};

/// One request on a new connection, which is then closed.
inline Reply request(const std::string &Address, const std::string &Bytes, double Seconds,
                     const std::function<void(const std::string &)> &OnBody = {}) {
  Reply Answer;
  double Until = now() + Seconds;
  int File = connectTo(Address, std::min(Seconds, 1.0));
  if (File < 0)
    return Answer;
  Answer.m_connected = true;
  std::string Input;
  if (sendAll(File, Bytes)) {
    Answer.m_whole = readMessage(File, Input, Until, Answer.m_message, OnBody);
    Answer.m_status = Answer.m_message.status();
    if (!Answer.m_whole && Answer.m_message.m_line.empty())
      Answer.m_status = 0;
  }
  ::close(File);
  return Answer;
}

inline std::string requestBytes(const std::string &Method, const std::string &Path, const std::string &Fields,
                                const std::string &Body) {
  std::string Out = Method + " " + Path + " HTTP/1.1\r\n" + Fields;
  if (Method != "GET" || !Body.empty())
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Out + "\r\n" + Body;
}

/// A call to `control_plane` as the pages tell: a caller follows a 307 twice.
inline Reply controlCall(std::string Address, std::string Path, const std::string &Method, const std::string &Body,
                         double Seconds = 1.0) {
  Reply Answer;
  for (int Hop = 0; Hop < 3; ++Hop) {
    std::string Fields = "Host: " + Address + "\r\n";
    if (!Body.empty())
      Fields += "Content-Type: application/json\r\n";
    Answer = request(Address, requestBytes(Method, Path, Fields, Body), Seconds);
    std::string Location = Answer.m_message.field("location");
    if (Answer.m_status != 307 || Location.compare(0, 7, "http://") != 0)
      return Answer;
    std::size_t Slash = Location.find('/', 7);
    Address = Location.substr(7, Slash - 7);
    Path = Location.substr(Slash);
  }
  return Answer;
}

// ---- processes ----

inline std::string &repositoryRoot() {
  static std::string Root;
  return Root;
}
inline std::filesystem::path &workFolder() {
  static std::filesystem::path Folder;
  return Folder;
}

/// One machine with one program of the deploy file. The signals are those that the platform, or an operator, sends.
class Machine {
public:
  Machine(std::string Name, std::string Role, std::string Ip, std::string Zone)
      : m_name(std::move(Name)), m_role(std::move(Role)), m_ip(std::move(Ip)), m_zone(std::move(Zone)) {}
  ~Machine() { kill(); }
  Machine(const Machine &) = delete;

  void start() {
    std::string File = (workFolder() / (m_name + ".yaml")).string();
    std::ofstream(File) << m_settings;
    std::string Variable = "TURMERICDYKE_NODE_FILE=" + File;
    std::string Program = repositoryRoot() + "/target/packages/node/turmericdyked";
    std::string Argument = "--role=" + m_role;
    std::string Log = (workFolder() / (m_name + ".log")).string();
    std::string Path = "PATH=/usr/bin:/bin", Home = "HOME=/tmp", Lang = "LANG=C.UTF-8";
    char *Environment[] = {Variable.data(), Path.data(), Home.data(), Lang.data(), nullptr};
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (m_cpu >= 0) {
        cpu_set_t Cores;
        CPU_ZERO(&Cores);
        CPU_SET(static_cast<std::size_t>(m_cpu), &Cores);
        sched_setaffinity(0, sizeof Cores, &Cores);
      }
      if (chdir(repositoryRoot().c_str()) != 0)
        _exit(126);
      int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(Out, 1);
      dup2(Out, 2);
      execle(Program.c_str(), Program.c_str(), Argument.c_str(), nullptr, Environment);
      _exit(127);
    }
    RECORD("platform: %s started, process %d", m_name.c_str(), m_pid);
  }
  void signal(int Number, const char *Text) {
    if (m_pid <= 0)
      return;
    ::kill(m_pid, Number);
    RECORD("platform: %s gets %s", m_name.c_str(), Text);
  }
  void kill() {
    if (m_pid <= 0)
      return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
    RECORD("platform: %s killed", m_name.c_str());
  }
  /// Kills at once; `kill` waits for the end and records it.
  void strike() const { ::kill(m_pid, SIGKILL); }
  /// Whether the process runs; if not, its status is in `Status`.
  bool alive(int *Status = nullptr) {
    int Ended = 0;
    if (m_pid > 0 && waitpid(m_pid, &Ended, WNOHANG) == m_pid) {
      m_pid = -1;
      if (Status != nullptr)
        *Status = Ended;
    }
    return m_pid > 0;
  }
  pid_t pid() const { return m_pid; }
  std::string control() const { return m_ip + ":8229"; }
  std::string frontend() const { return m_ip + ":8227"; }
  bool ready() const {
    return request(m_ip + ":8220", "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1).m_status == 200;
  }
  std::string metrics() const {
    return request(m_ip + ":9464", "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1).m_message.m_body;
  }

  const std::string m_name, m_role, m_ip, m_zone;
  std::string m_settings;
  /// The only core that the process may use, as machines have one (`cpu-cores: 1`); -1 for any.
  int m_cpu = -1;

private:
  pid_t m_pid = -1;
};

struct DeploymentOptions {
  int m_cores = 3;
  int m_edges = 2;
  int m_tolerated = 1;
  /// Memory of an edge machine, in MB.
  long m_edgeMemory = 260;
  std::vector<std::string> m_zones = {"zone-a", "zone-b", "zone-c"};
  /// Lines of `bounds`.
  std::string m_bounds;
};

/// The machines of a small deployment, with the settings that the platform would write.
class Deployment {
public:
  explicit Deployment(const DeploymentOptions &Options) {
    std::string Net = freeNet();
    m_net = Net;
    std::vector<std::string> Seeds;
    for (int At = 0; At < Options.m_cores; ++At) {
      std::string Zone = Options.m_zones[static_cast<std::size_t>(At) % Options.m_zones.size()];
      m_cores.push_back(std::make_unique<Machine>("core-" + std::to_string(At + 1), "coordinator",
                                                  Net + std::to_string(11 + At), Zone));
      if (Seeds.size() < 3)
        Seeds.push_back(m_cores.back()->control());
    }
    for (int At = 0; At < Options.m_edges; ++At)
      m_edges.push_back(std::make_unique<Machine>("edge-" + std::to_string(At + 1), "entry",
                                                  Net + std::to_string(31 + At),
                                                  Options.m_zones[static_cast<std::size_t>(At) % Options.m_zones.size()]));
    for (auto &Core : m_cores)
      Core->m_settings = settings(*Core, Options, Seeds, true);
    for (auto &Edge : m_edges)
      Edge->m_settings = settings(*Edge, Options, Seeds, false);
  }
  void start() {
    for (auto &Core : m_cores)
      Core->start();
    for (auto &Edge : m_edges)
      Edge->start();
  }
  /// After a first start the platform states that it was not the first one.
  void endBootstrap() {
    for (auto *All : {&m_cores, &m_edges})
      for (auto &Each : *All) {
        std::size_t At = Each->m_settings.find("bootstrap: true");
        if (At != std::string::npos)
          Each->m_settings.replace(At, 15, "bootstrap: false");
      }
  }
  std::string ip(int Host) const { return m_net + std::to_string(Host); }
  /// The core machine that leads, by its metrics; null if none does. Only used to choose whom a disruption strikes.
  Machine *leader() {
    for (auto &Core : m_cores)
      if (Core->alive() && Core->metrics().find("\nturmericdyke_leads 1") != std::string::npos)
        return Core.get();
    return nullptr;
  }
  std::vector<std::unique_ptr<Machine>> m_cores, m_edges;

private:
  static std::string freeNet() {
    for (int Try = 0; Try < 200; ++Try) {
      int Seed = getpid() + Try * 131;
      std::string Net = "127." + std::to_string(20 + Seed / 250 % 200) + "." + std::to_string(1 + Seed % 250) + ".";
      int A = listenAt(Net + "11:8229"), B = listenAt(Net + "31:8227"), C = listenAt(Net + "11:7340");
      bool Free = A >= 0 && B >= 0 && C >= 0;
      for (int File : {A, B, C})
        if (File >= 0)
          ::close(File);
      if (Free)
        return Net;
    }
    cannotRun("no free loopback addresses");
  }
  static std::string settings(const Machine &Of, const DeploymentOptions &Options,
                              const std::vector<std::string> &Seeds, bool Core) {
    std::string Text;
    Text += "node-name: \"" + Of.m_name + "\"\nrole: \"" + Of.m_role + "\"\n";
    Text += std::string("machine-class: \"") + (Core ? "core" : "edge") + "\"\nserves:\n  - \"" +
            (Core ? "control_plane" : "edge") + "\"\n";
    Text += "ip: \"" + Of.m_ip + "\"\nzone: \"" + Of.m_zone + "\"\nregion: \"region\"\nzones:\n";
    for (const std::string &Zone : Options.m_zones)
      Text += "  " + Zone + ": \"region\"\n";
    Text += "listen:\n";
    Text += Core ? "  control: \"" + Of.m_ip + ":8229\"\n"
                 : "  frontend: \"" + Of.m_ip + ":8227\"\n  readiness: \"" + Of.m_ip + ":8220\"\n";
    Text += "internal-ports:\n  - 7340\n  - 7355\nseeds:\n";
    for (const std::string &Seed : Seeds)
      Text += "  - \"" + Seed + "\"\n";
    Text += std::string("bootstrap: true\nin-tolerance: ") + (Core ? "true" : "false") + "\n";
    Text += "limits:\n  cpu-share: 0.6\n  cpu-cores: 1\n  memory-mb: " +
            std::to_string(Core ? 256 : Options.m_edgeMemory) + "\n  max-fds: 4100\n  link-mbps: 1000.0\n";
    Text += std::string("  disk-mb: ") + (Core ? "128" : "0") + "\n";
    Text += Core ? "data-dir: \"" + (workFolder() / (Of.m_name + "-data")).string() + "\"\n" : "data-dir: null\n";
    Text += "discovery: \"registration\"\nentry: \"anycast\"\nheartbeat-ms: 1200\n";
    Text += "fault-tolerance:\n  machines: " + std::to_string(Options.m_tolerated) + "\n  zones: 0\n  regions: 0\n";
    Text += "bounds:\n" + Options.m_bounds + "config-mode: \"highest\"\n";
    return Text;
  }
  std::string m_net;
};

// ---- the operator ----

/// Sends an order until it has a clear response: a 200, or a status that ends the call. Moves on to the next node, with
/// increasing backoff, after anything else or a second without a response.
inline int operate(Deployment &All, const std::string &Path, const std::string &Body, double Seconds,
                   std::size_t First = 0) {
  double Until = now() + Seconds, Backoff = 0.1;
  for (std::size_t Try = First; now() < Until; ++Try) {
    Machine &Node = *All.m_cores[Try % All.m_cores.size()];
    Reply Answer = controlCall(Node.control(), Path, "POST", Body);
    RECORD("operator: POST %s (%zu bytes) to %s: %d", Path.c_str(), Body.size(), Node.m_name.c_str(), Answer.m_status);
    for (int Final : {200, 400, 409, 412, 413, 422})
      if (Answer.m_status == Final)
        return Final;
    sleepFor(Backoff);
    Backoff = std::min(Backoff * 1.6, 1.0);
  }
  return 0;
}

// ---- servers ----

class Server;

/// What a server does with a request. Runs on a thread of its own; `Answer` may be called once with the whole answer,
/// or the handler writes to the connection itself.
struct ServerRequest {
  Message m_message;
  int m_file = -1;
  Server *m_server = nullptr;
};

struct ServerOptions {
  std::string m_name;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  std::string m_domain;
  int m_slots = 6;
  bool m_engine = false;
};

/// A server as the pages tell: it announces itself to the core, answers health checks, reports and orders, and runs
/// requests. It may crash and start again as a new incarnation at its address.
class Server {
public:
  using Handler = std::function<void(ServerRequest &)>;

  Server(Deployment &All, ServerOptions Options, Handler OnRequest)
      : m_all(All), m_options(std::move(Options)), m_onRequest(std::move(OnRequest)) {}
  ~Server() { end(); }

  void start() {
    static std::atomic<int> Lives{0};
    int Life = ++Lives;
    {
      std::lock_guard Lock(m_lock);
      m_id = "i-" + m_options.m_name + "-" + std::to_string(Life);
      m_born = unixMillis();
      m_sequence = 0;
      m_state = "ready";
      m_late = 0;
      m_model.clear();
      m_group = Json();
      m_staged.clear();
      m_beatAddress.clear();
    }
    int File = -1;
    for (int Try = 0; Try < 50 && (File = listenAt(m_options.m_address)) < 0; ++Try)
      sleepFor(0.1);
    if (File < 0)
      cannotRun("no server at " + m_options.m_address);
    m_listener = File;
    m_up = true;
    RECORD("server %s up at %s", id().c_str(), m_options.m_address.c_str());
    m_threads.emplace_back([this, File] { accept(File); });
    m_threads.emplace_back([this, Life] { beat(Life); });
    m_life = Life;
  }
  /// All that the process held closes, as at the end of a process. It is back after `Seconds`.
  void crash(double Seconds) {
    if (!m_up.exchange(false))
      return;
    RECORD("server %s crashes", id().c_str());
    closeAll();
    std::thread([this, Seconds] {
      sleepFor(Seconds);
      if (!m_ended)
        start();
    }).detach();
  }
  void end() {
    m_ended = true;
    m_up = false;
    closeAll();
  }
  bool up() const { return m_up; }
  std::string id() const {
    std::lock_guard Lock(m_lock);
    return m_id;
  }
  const ServerOptions &options() const { return m_options; }
  /// Says that it leaves, in a heartbeat to `Address`; serves on. Its further heartbeats arrive `Late` seconds late.
  /// Calls `OnAck` as soon as the answer is there.
  int drain(const std::string &Address, double Late, const std::function<void()> &OnAck) {
    std::string Body, Id;
    {
      std::lock_guard Lock(m_lock);
      m_state = "draining";
      m_late = Late;
      Body = statement();
      Id = m_id;
    }
    int File = connectTo(Address, 1);
    std::string Input;
    if (File < 0 || !sendAll(File, requestBytes("POST", "/Instances.Heartbeat/" + Id,
                                                "Host: " + Address + "\r\nContent-Type: application/json\r\n", Body)))
      return 0;
    readSome(File, Input, now() + 1);
    bool Acknowledged = Input.compare(0, 12, "HTTP/1.1 200") == 0;
    if (Acknowledged)
      OnAck();
    ::close(File);
    return Acknowledged ? 200 : std::atoi(Input.c_str() + std::min<std::size_t>(9, Input.size()));
  }
  /// Tells the core at once; see `beat`.
  void announceNow() { m_beatNow = true; }

  /// Whether a head serves: `open` in its group.
  std::string groupState() const {
    std::lock_guard Lock(m_lock);
    return m_group.is_object() ? m_group.value("state", "") : "";
  }
  std::atomic<bool> m_traffic{false};

private:
  void closeAll() {
    int File = m_listener.exchange(-1);
    if (File >= 0) {
      shutdown(File, SHUT_RDWR);
      ::close(File);
    }
    std::lock_guard Lock(m_lock);
    for (int Open : m_open)
      shutdown(Open, SHUT_RDWR);
  }
  void accept(int File) {
    while (m_up) {
      pollfd Ready{File, POLLIN, 0};
      if (poll(&Ready, 1, 100) != 1)
        continue;
      int Taken = accept4(File, nullptr, nullptr, SOCK_CLOEXEC);
      if (Taken < 0)
        return;
      int On = 1;
      setsockopt(Taken, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      {
        std::lock_guard Lock(m_lock);
        m_open.insert(Taken);
      }
      std::thread([this, Taken, Life = m_life.load()] {
        serve(Taken, Life);
        std::lock_guard Lock(m_lock);
        m_open.erase(Taken);
        ::close(Taken);
      }).detach();
    }
  }
  void serve(int File, int) {
    std::string Input;
    while (m_up) {
      ServerRequest Request;
      Request.m_file = File;
      Request.m_server = this;
      if (!readMessage(File, Input, now() + 60, Request.m_message) || !m_up)
        return;
      const std::string Expected = Request.m_message.field("expect-instance");
      if (!Expected.empty() && Expected != id()) {
        if (!answer(Request, 421, "Not-Executed: 1\r\nAt-Server: " + id() + "\r\n", "wrong instance"))
          return;
        continue;
      }
      std::string Path = Request.m_message.path();
      if (Path == "/healthz")
        answer(Request, 200, "Instance-Id: " + id() + "\r\n", "");
      else if (Path == "/report")
        answer(Request, 200, "Content-Type: application/json\r\n", report().dump());
      else if (Path == "/order")
        order(Request);
      else
        m_onRequest(Request);
    }
  }

public:
  /// Sends a whole answer with a length.
  static bool answer(ServerRequest &Request, int Status, const std::string &Fields, const std::string &Body) {
    std::string Out = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
    std::string Id = Request.m_message.field("request-id");
    if (!Id.empty())
      Out += "Request-Id: " + Id + "\r\n";
    Out += Fields + "Keep-Alive: timeout=30\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    return sendAll(Request.m_file, Out);
  }

private:
  Json groupJson() const { return m_group; }
  Json report() {
    std::lock_guard Lock(m_lock);
    Json Value = {{"stage", "prefill_decode"}, {"busy", false}, {"sequence", m_orders}, {"queued", 0},
                  {"active", 0}, {"kv-used", 0}, {"kv-total", 1860000}, {"handles", 0}, {"pace", 1.0},
                  {"born", m_born}};
    addWeights(Value);
    return Value;
  }
  void addWeights(Json &Value) const {
    Value["models"] = Json::array();
    if (!m_model.empty())
      Value["models"].push_back({{"name", m_model}, {"version", 1}, {"adapters", Json::array()}});
    if (!m_options.m_engine)
      return;
    Value["domain"] = m_options.m_domain;
    Value["staged"] = m_staged;
    Value["group"] = m_group.is_null() ? Json::object() : m_group;
  }
  /// Orders on groups. A join takes a short time, as before the first request or with the weights staged.
  void order(ServerRequest &Request) {
    Json Order = Json::parse(Request.m_message.m_body, nullptr, false);
    std::string Operation = Order.value("operation", "");
    std::string Name = Order.value("group", "");
    std::uint64_t Epoch = Order.value("epoch", std::uint64_t{0});
    int Status = 202;
    {
      std::lock_guard Lock(m_lock);
      if (Order.contains("fencing-token")) {
        std::uint64_t Fence = Order["fencing-token"];
        if (Fence < m_fence)
          Status = 412;
        m_fence = std::max(m_fence, Fence);
      }
      bool Mine = m_group.is_object() && m_group["name"] == Name && m_group["epoch"] == Epoch;
      if (Status == 412) {
      } else if (Operation == "join") {
        int Rank = 0;
        for (const Json &Member : Order["members"]) {
          if (Member == m_id)
            break;
          ++Rank;
        }
        if (Epoch < m_epoch)
          Status = 412;
        else if (Mine)
          Status = 200;
        else {
          m_epoch = Epoch;
          m_group = {{"name", Name}, {"epoch", Epoch}, {"rank", Rank}, {"state", "joining"}};
          m_model = Order.value("model", "");
          std::thread([this, Epoch, Life = m_life.load()] {
            sleepFor(0.5);
            becomes(Life, Epoch, "joining", "ready");
          }).detach();
        }
      } else if (Operation == "open") {
        if (!Mine || (m_group["state"] != "ready" && m_group["state"] != "open"))
          Status = 409;
        else if (m_group["state"] == "open")
          Status = 200;
        else
          std::thread([this, Epoch, Life = m_life.load()] {
            sleepFor(0.3);
            becomes(Life, Epoch, "ready", "open");
          }).detach();
      } else if (Operation == "close") {
        if (Mine)
          m_group["state"] = "ready";
        Status = Mine ? 200 : 409;
      } else if (Operation == "leave") {
        if (Mine)
          m_group = Json();
        Status = 200;
      } else if (Operation == "stage") {
        m_staged = {Order.value("model", "")};
      } else {
        Status = 400;
      }
      if (Status == 202)
        ++m_orders;
    }
    announceNow();
    answer(Request, Status, "", "");
  }
  void becomes(int Life, std::uint64_t Epoch, const char *From, const char *To) {
    {
      std::lock_guard Lock(m_lock);
      if (m_life != Life || !m_group.is_object() || m_group["epoch"] != Epoch || m_group["state"] != From)
        return;
      m_group["state"] = To;
      if (std::string(To) == "ready")
        m_staged = {m_model};
    }
    announceNow();
  }
  /// The body of the next heartbeat. The lock is held.
  std::string statement() {
    Json Value = {{"service", m_options.m_service}, {"address", m_options.m_address},
                  {"zone", m_options.m_zone}, {"version", "v1"}, {"slots", m_options.m_slots},
                  {"state", m_state}, {"cold-remaining-ms", 0}, {"stage", "prefill_decode"},
                  {"sequence", ++m_sequence}, {"born", m_born}};
    addWeights(Value);
    return Value.dump();
  }
  /// Announces this life to the core about every heartbeat, and at once after a change.
  void beat(int Life) {
    std::size_t Next = static_cast<std::size_t>(Life);
    while (m_up && (m_life == Life || m_life == 0)) {
      m_beatNow = false;
      std::string Body, Id, Address;
      double Late = 0;
      {
        std::lock_guard Lock(m_lock);
        Body = statement();
        Late = m_late;
        Id = m_id;
        Address = m_beatAddress;
      }
      if (Late > 0) {
        std::thread([this, Body, Id, Late] {
          sleepFor(Late);
          for (std::size_t Try = 0; Try < m_all.m_cores.size(); ++Try) {
            Reply Answer = controlCall(m_all.m_cores[Try]->control(), "/Instances.Heartbeat/" + Id, "POST", Body);
            if (Answer.m_status / 100 == 2)
              break;
          }
        }).detach();
      }
      for (std::size_t Try = 0; Late <= 0 && Try < m_all.m_cores.size() + 1 && m_up; ++Try) {
        if (Address.empty())
          Address = m_all.m_cores[Next++ % m_all.m_cores.size()]->control();
        Reply Answer = controlCall(Address, "/Instances.Heartbeat/" + Id, "POST", Body);
        if (Answer.m_status / 100 == 2) {
          Json Value = Json::parse(Answer.m_message.m_body, nullptr, false);
          std::lock_guard Lock(m_lock);
          m_beatAddress = Value.is_object() ? Value.value("heartbeat-address", "") : "";
          break;
        }
        Address.clear();
        std::lock_guard Lock(m_lock);
        m_beatAddress.clear();
      }
      for (int Part = 0; Part < 60 && m_up && !m_beatNow; ++Part)
        sleepFor(0.02);
    }
  }

  Deployment &m_all;
  const ServerOptions m_options;
  const Handler m_onRequest;
  mutable std::mutex m_lock;
  std::string m_id, m_state, m_model, m_beatAddress;
  std::int64_t m_born = 0;
  double m_late = 0;
  std::uint64_t m_sequence = 0, m_orders = 0, m_epoch = 0, m_fence = 0;
  Json m_group;
  std::vector<std::string> m_staged;
  std::set<int> m_open;
  std::atomic<int> m_listener{-1}, m_life{0};
  std::atomic<bool> m_up{false}, m_ended{false}, m_beatNow{false};
  std::vector<std::thread> m_threads;

public:
  /// Threads end by themselves once the server has ended.
  void join() {
    for (std::thread &Each : m_threads)
      if (Each.joinable())
        Each.join();
  }
};

// ---- a case ----

inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

inline void removeWork() {
  if (!workFolder().empty() && std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(workFolder());
}

/// Ends the case: processes of the deployment end with this one (PR_SET_PDEATHSIG), and are killed before.
[[noreturn]] inline void finish(Deployment *All, int Code, const std::string &Text) {
  RECORD("%s", Text.c_str());
  std::printf("%s\n", Text.c_str());
  if (All != nullptr)
    for (auto *Each : {&All->m_cores, &All->m_edges})
      for (auto &One : *Each)
        One->kill();
  removeWork();
  std::fflush(nullptr);
  _exit(Code);
}

[[noreturn]] inline void cannotRun(const std::string &Why) { finish(nullptr, 2, "the case could not run: " + Why); }

/// `Folder` is that of the case: record.txt is written there.
inline void begin(int Count, char **Arguments) {
  if (Count < 3)
    cannotRun("usage: CASE REPOSITORY FOLDER");
  std::signal(SIGPIPE, SIG_IGN);
  repositoryRoot() = Arguments[1];
  Record::get().open(std::string(Arguments[2]) + "/record.txt");
  std::string Name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    cannotRun("no temporary folder");
  workFolder() = Name;
  if (access((repositoryRoot() + "/target/packages/node/turmericdyked").c_str(), X_OK) != 0)
    cannotRun("the build of the deploy file is missing");
  RECORD("%s the disruption", trouble() ? "with" : "without");
}

/// Waits until `Done`; ends the case as one that could not run otherwise.
inline void await(Deployment &All, double Seconds, const char *What, const std::function<bool()> &Done) {
  double Until = now() + Seconds;
  while (!Done()) {
    if (now() > Until)
      finish(&All, 2, std::string("the case could not run: ") + What);
    sleepFor(0.05);
  }
}

} // namespace lab
