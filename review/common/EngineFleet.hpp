// Stand-ins for model servers that serve in groups, as far as the cases need
// them: heartbeats, reports, orders, streams, and the stall of a group that has
// lost a member.
#pragma once

#include <set>

#include "Deployment.hpp"

namespace review {

struct EngineModelSheet {
  std::string Name = "m-1";
  std::size_t Size = 2;
  double LoadS = 12.0;
  double WarmS = 1.1;
};

inline constexpr double FormS = 0.3;
inline constexpr double StallS = 4.0;
inline constexpr double KnownModelS = 0.2;

enum class GroupState { None, Joining, Ready, Open, Closing, Broken };

inline const char *nameOf(GroupState State) {
  constexpr const char *Names[] = {"none", "joining", "ready",
                                   "open", "closing", "broken"};
  return Names[static_cast<std::size_t>(State)];
}

// A text or number that a flat JSON object holds under `Name`; empty if none.
inline std::string jsonValue(const std::string &Json, const std::string &Name) {
  std::size_t At = Json.find("\"" + Name + "\":");
  if (At == std::string::npos)
    return "";
  At += Name.size() + 3;
  if (Json[At] == '"')
    return Json.substr(At + 1, Json.find('"', At + 1) - At - 1);
  if (Json[At] == '[')
    return Json.substr(At, Json.find(']', At) - At + 1);
  return Json.substr(At, Json.find_first_of(",}", At) - At);
}

inline std::vector<std::string> jsonTexts(const std::string &List) {
  std::vector<std::string> Texts;
  for (std::size_t At = List.find('"'); At != std::string::npos;
       At = List.find('"', At + 1)) {
    std::size_t End = List.find('"', At + 1);
    Texts.push_back(List.substr(At + 1, End - At - 1));
    At = End;
  }
  return Texts;
}

// All servers of a service with an engine, in one fabric domain.
class EngineFleet {
public:
  struct Member {
    std::string Id;
    std::string Address;
    int Listener = -1;
    long long Born = 0;
    std::uint64_t Beats = 0;
    std::uint64_t Orders = 0;
    unsigned long long Fence = 0;
    unsigned long long EpochSeen = 0;
    std::string Group;
    unsigned long long Epoch = 0;
    std::size_t Rank = 0;
    std::vector<std::string> Members;
    GroupState State = GroupState::None;
    // When the present change of state ends.
    double ChangesAt = -1;
    GroupState ChangesTo = GroupState::None;
    std::string Model;
    std::string InMemory;
    std::string Staged;
    std::string Staging;
    double StagedAt = -1;
    // Since when the group has stood still; negative while it moves.
    double StillSince = -1;
    int Active = 0;
    double NextBeat = 0;
    std::string BeatAddress;
  };
  // A join of another group that a server took while the head of its own group
  // was open or closing.
  struct Violation {
    double At = 0;
    std::string Text;
  };

  EngineFleet(Deployment &System, Record &Log, int Count,
              EngineModelSheet Model)
      : m_system(System), m_log(Log), m_model(std::move(Model)) {
    for (int At = 0; At < Count; ++At) {
      Member Each;
      Each.Id = "e-" + std::to_string(At + 1);
      Each.Address = System.ip(150 + At) + ":" + std::to_string(Ports::Server);
      Each.Listener = listenOn(Each.Address);
      if (Each.Listener < 0)
        throw std::runtime_error("cannot listen on " + Each.Address);
      Each.Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
      m_servers.push_back(Each);
    }
    for (std::size_t At = 0; At < m_servers.size(); ++At) {
      m_threads.emplace_back([this, At] { accept(At); });
      m_threads.emplace_back([this, At] { beat(At); });
    }
    m_threads.emplace_back([this] { move(); });
  }
  ~EngineFleet() {
    m_ending = true;
    {
      std::lock_guard<std::mutex> Lock(m_lock);
      for (Member &Each : m_servers)
        shutdown(Each.Listener, SHUT_RDWR);
      for (int File : m_connections)
        shutdown(File, SHUT_RDWR);
    }
    for (std::thread &Each : m_threads)
      Each.join();
    for (Member &Each : m_servers)
      close(Each.Listener);
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      std::lock_guard<std::mutex> Lock(m_lock);
      if (m_connections.empty())
        return;
    }
  }

  std::vector<Member> servers() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_servers;
  }
  std::vector<Violation> violations() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_violations;
  }
  int cutStreams() {
    std::lock_guard<std::mutex> Lock(m_lock);
    return m_cutStreams;
  }
  void trafficBegins() { m_traffic = true; }

  // The body of a heartbeat of a server, as it would send it now.
  std::string beatBody(const Member &Each, std::uint64_t Sequence,
                       const std::string &Service, bool WithGroup) {
    std::string Body =
        "{\"service\":\"" + Service + "\",\"address\":\"" + Each.Address +
        "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":17,\"state\":"
        "\"ready\",\"cold-remaining-ms\":0,\"stage\":\"prefill_decode\","
        "\"models\":[],\"sequence\":" +
        std::to_string(Sequence) + ",\"born\":" + std::to_string(Each.Born);
    if (WithGroup)
      Body += "," + stateJson(Each);
    return Body + "}";
  }

private:
  static std::string stateJson(const Member &Each) {
    std::string Text = "\"domain\":\"d-1\",\"staged\":[";
    if (!Each.Staged.empty())
      Text += "\"" + Each.Staged + "\"";
    Text += "]";
    if (Each.State == GroupState::None)
      return Text;
    return Text + ",\"models\":[{\"name\":\"" + Each.Model +
           "\",\"version\":1,\"adapters\":[]}],\"group\":{\"name\":\"" +
           Each.Group + "\",\"epoch\":" + std::to_string(Each.Epoch) +
           ",\"rank\":" + std::to_string(Each.Rank) + ",\"state\":\"" +
           nameOf(Each.State) + "\"}";
  }

  Member *find(const std::string &Id) {
    for (Member &Each : m_servers)
      if (Each.Id == Id)
        return &Each;
    return nullptr;
  }

  // Whether all members of the head's group still belong to it.
  bool isWhole(const Member &Head) {
    for (const std::string &Id : Head.Members) {
      Member *Other = find(Id);
      if (Other == nullptr || Other->Group != Head.Group ||
          Other->Epoch != Head.Epoch || Other->State == GroupState::None)
        return false;
    }
    return true;
  }

  // Carries out changes of state whose time has come.
  void move() {
    while (!m_ending) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      std::lock_guard<std::mutex> Lock(m_lock);
      double Now = m_log.now();
      for (Member &Each : m_servers) {
        if (Each.ChangesAt >= 0 && Now >= Each.ChangesAt) {
          Each.ChangesAt = -1;
          Each.State = Each.ChangesTo;
          if (Each.State == GroupState::Ready) {
            Each.InMemory = Each.Model;
            Each.Staged = Each.Model;
          }
          changed(Each);
        }
        if (Each.StagedAt >= 0 && Now >= Each.StagedAt) {
          Each.StagedAt = -1;
          Each.Staged = Each.Staging;
          changed(Each);
        }
        bool Serves = Each.Rank == 0 && (Each.State == GroupState::Open ||
                                         Each.State == GroupState::Closing);
        if (!Serves || isWhole(Each)) {
          Each.StillSince = -1;
        } else if (Each.StillSince < 0) {
          Each.StillSince = Now;
          m_log.line("group %s stands still: head %s has lost a member",
                     Each.Group.c_str(), Each.Id.c_str());
        } else if (Now - Each.StillSince >= StallS) {
          Each.State = GroupState::Broken;
          changed(Each);
        }
        if (Each.State == GroupState::Closing && Each.Active == 0) {
          Each.State = GroupState::Ready;
          changed(Each);
        }
      }
    }
  }

  void changed(Member &Each) {
    m_log.line("server %s: group %s epoch %llu rank %zu %s, staged %s",
               Each.Id.c_str(), Each.Group.c_str(), Each.Epoch, Each.Rank,
               nameOf(Each.State), Each.Staged.c_str());
    Each.NextBeat = 0;
  }

  void beat(std::size_t At) {
    while (!m_ending) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      std::string Id;
      std::string Body;
      std::string First;
      {
        std::lock_guard<std::mutex> Lock(m_lock);
        Member &Each = m_servers[At];
        if (m_log.now() < Each.NextBeat)
          continue;
        Each.NextBeat = m_log.now() + 1.2;
        Id = Each.Id;
        Body = beatBody(Each, ++Each.Beats, "llm", true);
        First = Each.BeatAddress.empty()
                    ? m_system.core(At % m_system.cores()).control()
                    : Each.BeatAddress;
      }
      for (std::size_t Try = 0; Try <= m_system.cores() && !m_ending; ++Try) {
        std::optional<Message> Answer =
            callControl(First, "POST", "/Instances.Heartbeat/" + Id, Body, 1.0);
        if (Answer && Answer->status() / 100 == 2) {
          std::string Named = jsonValue(Answer->Body, "heartbeat-address");
          std::lock_guard<std::mutex> Lock(m_lock);
          m_servers[At].BeatAddress = Named;
          break;
        }
        First = m_system.core((At + Try) % m_system.cores()).control();
      }
    }
  }

  void accept(std::size_t At) {
    int Listener = m_servers[At].Listener;
    for (;;) {
      int File = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (File < 0)
        return;
      int On = 1;
      setsockopt(File, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::lock_guard<std::mutex> Lock(m_lock);
      m_connections.insert(File);
      std::thread([this, File, At] { serve(File, At); }).detach();
    }
  }

  void serve(int File, std::size_t At) {
    Reader Input(File);
    while (!m_ending) {
      std::optional<Message> Request =
          Input.read(Clock::now() + std::chrono::seconds(8));
      if (!Request || !answer(File, *Request, At))
        break;
    }
    std::lock_guard<std::mutex> Lock(m_lock);
    m_connections.erase(File);
    close(File);
  }

  static std::string reply(int Status, const std::string &Id,
                           const std::string &Fields, const std::string &Body) {
    return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" +
           (Id.empty() ? "" : "Request-Id: " + Id + "\r\n") + Fields +
           "Keep-Alive: timeout=8\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  bool answer(int File, const Message &Request, std::size_t At) {
    std::string Id = Request.field("request-id");
    std::unique_lock<std::mutex> Lock(m_lock);
    Member &Own = m_servers[At];
    if (!Request.field("expect-instance").empty() &&
        Request.field("expect-instance") != Own.Id) {
      Lock.unlock();
      return sendAll(File, reply(421, Id, "", ""));
    }
    if (Request.target() == "/report") {
      std::string Body =
          "{\"stage\":\"prefill_decode\",\"models\":[],\"busy\":false,"
          "\"sequence\":" +
          std::to_string(Own.Orders) +
          ",\"queued\":0,\"active\":" + std::to_string(Own.Active) +
          ",\"kv-used\":0,\"kv-total\":1860000,\"handles\":0,\"pace\":1.0,"
          "\"born\":" +
          std::to_string(Own.Born) + "," + stateJson(Own) + "}";
      Lock.unlock();
      return sendAll(File, reply(200, Id, "", Body));
    }
    if (Request.target() == "/order") {
      int Status = order(Own, Request.Body);
      m_log.line("order to %s: %s -> %d", Own.Id.c_str(), Request.Body.c_str(),
                 Status);
      Lock.unlock();
      return sendAll(File, reply(Status, Id, "", "{}"));
    }
    if (Own.State == GroupState::None || Own.Rank != 0) {
      Lock.unlock();
      return sendAll(File, reply(421, Id, "", ""));
    }
    if (Own.State != GroupState::Open) {
      Lock.unlock();
      return sendAll(File, reply(503, Id, "Not-Executed: 1\r\n", ""));
    }
    ++Own.Active;
    std::string Group = Own.Group;
    Lock.unlock();
    bool Whole = stream(File, Request, At, Group);
    Lock.lock();
    --Own.Active;
    return Whole;
  }

  // Sends the events of a stream. Stops while the group stands still, and cuts
  // the stream off once it is broken.
  bool stream(int File, const Message &Request, std::size_t At,
              const std::string &Group) {
    constexpr int Events = 30;
    std::string Id = Request.field("request-id");
    if (!sendAll(File, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                           "\r\nServer-Signature: " + Id +
                           "\r\nContent-Type: text/event-stream\r\n"
                           "Weight-Versions: 1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    int Event = std::atoi(Request.field("last-event-id").c_str());
    while (++Event <= Events && !m_ending) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      for (;;) {
        std::unique_lock<std::mutex> Lock(m_lock);
        Member &Own = m_servers[At];
        bool Serves = Own.Group == Group && (Own.State == GroupState::Open ||
                                             Own.State == GroupState::Closing);
        if (!Serves) {
          ++m_cutStreams;
          return false;
        }
        if (Own.StillSince < 0)
          break;
        Lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      std::string Text = "id: " + std::to_string(Event) + "\ndata: word\n\n";
      char Size[16];
      snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
      if (!sendAll(File, Size + Text + "\r\n"))
        return false;
    }
    return sendAll(File, "0\r\n\r\n");
  }

  int order(Member &Own, const std::string &Body) {
    std::string Kind = jsonValue(Body, "operation");
    unsigned long long Fence =
        std::strtoull(jsonValue(Body, "fencing-token").c_str(), nullptr, 10);
    unsigned long long Epoch =
        std::strtoull(jsonValue(Body, "epoch").c_str(), nullptr, 10);
    std::string Group = jsonValue(Body, "group");
    if (Fence < Own.Fence)
      return 412;
    Own.Fence = Fence;
    if (Kind == "stage")
      return stage(Own, jsonValue(Body, "model"));
    if (Kind == "join")
      return join(Own, Group, Epoch, jsonValue(Body, "model"),
                  jsonTexts(jsonValue(Body, "members")));
    bool Fits = Own.State != GroupState::None && Own.Group == Group &&
                Own.Epoch == Epoch;
    if (Kind == "leave") {
      if (!Fits)
        return 200;
      Own.State = GroupState::None;
      Own.ChangesAt = -1;
    } else if (Kind == "open") {
      if (Fits && Own.State == GroupState::Open)
        return 200;
      if (!Fits || Own.Rank != 0 || Own.State != GroupState::Ready)
        return 409;
      Own.ChangesAt = m_log.now() + FormS;
      Own.ChangesTo = GroupState::Open;
    } else if (Kind == "close") {
      if (!Fits || Own.State != GroupState::Open)
        return 409;
      Own.State = GroupState::Closing;
    } else {
      return 400;
    }
    ++Own.Orders;
    changed(Own);
    return 202;
  }

  int stage(Member &Own, const std::string &Model) {
    if (Own.Staged == Model)
      return 200;
    ++Own.Orders;
    Own.Staging = Model;
    Own.StagedAt = m_log.now() + m_model.LoadS * (m_traffic ? 1 : 0.1);
    return 202;
  }

  int join(Member &Own, const std::string &Group, unsigned long long Epoch,
           const std::string &Model, const std::vector<std::string> &Members) {
    bool Same = Own.Group == Group && Own.Epoch == Epoch &&
                Own.State != GroupState::None;
    if (Epoch < Own.EpochSeen || (Same && Members != Own.Members))
      return 412;
    if (Same)
      return 200;
    checkHead(Own, Group);
    ++Own.Orders;
    Own.EpochSeen = Epoch;
    Own.Group = Group;
    Own.Epoch = Epoch;
    Own.Members = Members;
    Own.Rank = static_cast<std::size_t>(
        std::find(Members.begin(), Members.end(), Own.Id) - Members.begin());
    Own.Model = Model;
    Own.State = GroupState::Joining;
    double Load = m_model.LoadS * (m_traffic ? 1 : 0.1);
    Own.ChangesAt = m_log.now() + (Own.InMemory == Model ? KnownModelS
                                   : Own.Staged == Model ? m_model.WarmS
                                                         : Load);
    Own.ChangesTo = GroupState::Ready;
    changed(Own);
    return 202;
  }

  // Records a join of another group while the head of the present one serves.
  void checkHead(const Member &Own, const std::string &Other) {
    if (Own.State == GroupState::None || Own.Members.empty())
      return;
    Member *Head = find(Own.Members.front());
    bool Serves =
        Head != nullptr && Head->Group == Own.Group &&
        Head->Epoch == Own.Epoch &&
        (Head->State == GroupState::Open || Head->State == GroupState::Closing);
    if (!Serves)
      return;
    m_violations.push_back(
        {m_log.now(), Own.Id + " takes a join of " + Other + " while " +
                          Head->Id + ", the head of its group " + Own.Group +
                          ", is " + nameOf(Head->State)});
    m_log.line("%s", m_violations.back().Text.c_str());
  }

  Deployment &m_system;
  Record &m_log;
  EngineModelSheet m_model;
  std::mutex m_lock;
  std::vector<Member> m_servers;
  std::set<int> m_connections;
  std::vector<std::thread> m_threads;
  std::vector<Violation> m_violations;
  int m_cutStreams = 0;
  std::atomic<bool> m_traffic{false};
  std::atomic<bool> m_ending{false};
};

// A configuration with one service with an engine and a streaming route.
inline std::string engineConfig(int Version, const EngineModelSheet &Model) {
  char Sheet[256];
  snprintf(Sheet, sizeof Sheet,
           "{\"name\":\"%s\",\"size\":%zu,\"share\":1.0,\"pace\":1.0,"
           "\"load-s\":%.1f,\"warm-s\":%.1f}",
           Model.Name.c_str(), Model.Size, Model.LoadS, Model.WarmS);
  return "{\"version\":" + std::to_string(Version) +
         ",\"routes\":[{\"name\":\"r-gen\",\"host\":\"llm.example\","
         "\"path-prefix\":\"/gen/\",\"route-type\":\"streaming\","
         "\"timeout-ms\":8000,\"target-latency-ms\":400,\"priority\":1,"
         "\"service\":\"llm\",\"max-attempts\":2,\"public\":false,"
         "\"sticky\":true,\"resumable\":true,\"gap-target-ms\":300}],"
         "\"services\":[{\"name\":\"llm\",\"health-path\":\"/healthz\","
         "\"max-connections\":288,\"protocol\":\"h1\",\"tls\":false,"
         "\"engine\":{\"slots\":17,\"kv-capacity-tokens\":1860000,"
         "\"kv-bytes\":96256,\"link-mbps\":400000.0,\"stride\":5,\"models\":[" +
         Sheet +
         "],\"step_ms\":7.8,\"per_seq_ms\":0.0947,\"context_per_k\":0.0096,"
         "\"read_per_s\":45900.0,\"pairs_per_m\":0.433,\"chunk\":2048,"
         "\"report_lag_ms\":200.0,\"loads-per-s\":5.0,\"loads_at_once\":7,"
         "\"delays\":[],\"usual\":{\"prompt\":979,\"answer\":154},"
         "\"retention-count\":1,\"far_x\":2.5,\"form-ms\":300.0}}],"
         "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

} // namespace review
