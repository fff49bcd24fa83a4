// Starts the project's own programs as separate processes on loopback
// addresses: coordinators and entry nodes, each with an address of its own and
// the same ports, as on machines.
#pragma once

#include <atomic>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <random>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

#include "Http.hpp"

namespace review {

// The file in which a case records what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : m_file(fopen(Path.c_str(), "w")) {
    if (m_file == nullptr)
      throw std::runtime_error("cannot write " + Path);
  }
  ~Record() { fclose(m_file); }
  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    std::lock_guard<std::mutex> Lock(m_lock);
    fprintf(m_file, "%8.3f  ", now());
    va_list Values;
    va_start(Values, Format);
    vfprintf(m_file, Format, Values);
    va_end(Values);
    fputc('\n', m_file);
    fflush(m_file);
  }
  // Seconds since the start of the case.
  double now() const { return seconds(m_started, Clock::now()); }

private:
  FILE *m_file;
  std::mutex m_lock;
  Clock::time_point m_started = Clock::now();
};

struct Ports {
  static constexpr int Control = 8229;
  static constexpr int Frontend = 8227;
  static constexpr int Readiness = 8220;
  static constexpr int Internal = 7340;
  static constexpr int Server = 8120;
};

struct Machine {
  std::string Name;
  std::string Role;
  std::string Ip;
  pid_t Process = -1;

  std::string control() const {
    return Ip + ":" + std::to_string(Ports::Control);
  }
  std::string frontend() const {
    return Ip + ":" + std::to_string(Ports::Frontend);
  }
  std::string readiness() const {
    return Ip + ":" + std::to_string(Ports::Readiness);
  }
};

class Deployment {
public:
  explicit Deployment(Record &Log) : m_log(Log) {
    std::string Name =
        (std::filesystem::temp_directory_path() / "turmericdyke-review-XXXXXX")
            .string();
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
    m_folder = Name;
    choosePrefix();
  }
  ~Deployment() {
    for (Machine &Each : m_machines)
      end(Each, SIGKILL);
    for (Machine &Each : m_extra)
      end(Each, SIGKILL);
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(m_folder);
  }

  // An address of this deployment; each machine and server has its own.
  std::string ip(int Number) const { return m_prefix + std::to_string(Number); }

  void start(int Coordinators, int Entries, int Tolerated) {
    m_tolerated = Tolerated;
    for (int At = 0; At < Coordinators; ++At)
      m_machines.push_back(
          {"core-" + std::to_string(At + 1), "coordinator", ip(10 + At)});
    for (int At = 0; At < Entries; ++At)
      m_machines.push_back(
          {"edge-" + std::to_string(At + 1), "entry", ip(40 + At)});
    m_coordinators = static_cast<std::size_t>(Coordinators);
    for (Machine &Each : m_machines) {
      writeSettings(Each, true);
      run(Each);
    }
  }

  // Starts a process again that was ended, with its settings and disk.
  void restart(Machine &Each) {
    writeSettings(Each, false);
    run(Each);
  }

  // Adds a coordinator with an address of its own and an empty disk while the
  // system runs. `Seeds` are the machines that its settings name.
  Machine &addCoordinator(const std::vector<std::size_t> &Seeds) {
    m_extra.push_back({"core-" + std::to_string(m_coordinators + 1),
                       "coordinator",
                       ip(10 + static_cast<int>(m_coordinators))});
    m_seeds = Seeds;
    writeSettings(m_extra.back(), false);
    run(m_extra.back());
    return m_extra.back();
  }

  std::vector<Machine> &machines() { return m_machines; }
  Machine &core(std::size_t At) { return m_machines[At]; }
  Machine &edge(std::size_t At) { return m_machines[m_coordinators + At]; }
  std::size_t cores() const { return m_coordinators; }
  std::size_t edges() const { return m_machines.size() - m_coordinators; }
  const std::filesystem::path &folder() const { return m_folder; }

  void run(Machine &Each) {
    std::string Settings = settingsOf(Each);
    std::string Output = (m_folder / (Each.Name + ".log")).string();
    std::string Role = "--role=" + Each.Role;
    pid_t Child = fork();
    if (Child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int File = open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(File, STDOUT_FILENO);
      dup2(File, STDERR_FILENO);
      setenv("TURMERICDYKE_NODE_FILE", Settings.c_str(), 1);
      execl("target/packages/node/turmericdyked", "turmericdyked", Role.c_str(),
            nullptr);
      _exit(127);
    }
    Each.Process = Child;
    m_log.line("start %s (%s) at %s", Each.Name.c_str(), Each.Role.c_str(),
               Each.Ip.c_str());
  }

  void signal(Machine &Each, int Number) {
    m_log.line("signal %d to %s", Number, Each.Name.c_str());
    kill(Each.Process, Number);
  }

  // Ends a process and waits for its end.
  void end(Machine &Each, int Number) {
    if (Each.Process <= 0)
      return;
    kill(Each.Process, SIGCONT);
    kill(Each.Process, Number);
    waitpid(Each.Process, nullptr, 0);
    Each.Process = -1;
  }

  // Whether a process that should run has ended by itself.
  bool anyEnded() {
    bool Ended = false;
    for (Machine &Each : m_machines) {
      int Status = 0;
      if (Each.Process > 0 && waitpid(Each.Process, &Status, WNOHANG) > 0) {
        m_log.line("%s ended by itself, status %d", Each.Name.c_str(), Status);
        Each.Process = -1;
        Ended = true;
      }
    }
    return Ended;
  }

  // Sends a configuration until it is acknowledged, to one coordinator after
  // the other. Returns whether it was acknowledged within `Timeout` seconds.
  bool put(const std::string &Config, double Timeout) {
    Clock::time_point Until =
        Clock::now() + std::chrono::milliseconds(int(Timeout * 1000));
    for (std::size_t At = 0; Clock::now() < Until; ++At) {
      std::optional<Message> Answer = callControl(
          core(At % cores()).control(), "POST", "/Config.Put", Config, 1.0);
      m_log.line("operator: POST /Config.Put to %s -> %d",
                 core(At % cores()).Name.c_str(),
                 Answer ? Answer->status() : 0);
      if (Answer && Answer->status() == 200)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return false;
  }

  // The coordinator that answers a read of the configuration without a
  // redirect; nothing if there is none. Frozen ones must not be asked.
  Machine *leader() {
    for (std::size_t At = 0; At < cores(); ++At) {
      std::optional<Message> Answer =
          callOnce(core(At).control(),
                   "GET /Config.Get HTTP/1.1\r\nHost: c\r\nConnection: "
                   "close\r\n\r\n",
                   0.5);
      if (Answer && Answer->status() == 200)
        return &core(At);
    }
    return nullptr;
  }

  bool waitReady(double Timeout) {
    Clock::time_point Until =
        Clock::now() + std::chrono::milliseconds(int(Timeout * 1000));
    for (std::size_t At = 0; At < edges();) {
      std::optional<Message> Answer =
          callOnce(edge(At).readiness(),
                   "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: "
                   "close\r\n\r\n",
                   0.5);
      if (Answer && Answer->status() == 200) {
        ++At;
        continue;
      }
      if (Clock::now() > Until)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    m_log.line("all entry nodes say that they are ready");
    return true;
  }

private:
  std::string settingsOf(const Machine &Each) const {
    return (m_folder / (Each.Name + ".yaml")).string();
  }

  void choosePrefix() {
    std::random_device Random;
    for (int Try = 0; Try < 100; ++Try) {
      m_prefix = "127." + std::to_string(20 + Random() % 200) + "." +
                 std::to_string(1 + Random() % 250) + ".";
      bool Free = true;
      for (int Port :
           {Ports::Control, Ports::Frontend, Ports::Readiness, Ports::Internal,
            Ports::Internal + 1, Ports::Server, 9464}) {
        int File = listenOn(ip(10) + ":" + std::to_string(Port));
        Free = Free && File >= 0;
        if (File >= 0)
          close(File);
      }
      if (Free)
        return;
    }
    throw std::runtime_error("no free addresses");
  }

  void writeSettings(const Machine &Each, bool First) {
    bool Core = Each.Role == "coordinator";
    std::string Text;
    Text += "node-name: \"" + Each.Name + "\"\n";
    Text += "role: \"" + Each.Role + "\"\n";
    Text +=
        std::string("machine-class: \"") + (Core ? "core" : "edge") + "\"\n";
    Text += std::string("serves:\n  - \"") + (Core ? "control_plane" : "edge") +
            "\"\n";
    Text += "ip: \"" + Each.Ip + "\"\nzone: \"zone-a\"\nregion: \"north\"\n";
    Text += "zones:\n  zone-a: \"north\"\nlisten:\n";
    if (Core)
      Text += "  control: \"" + Each.control() + "\"\n";
    else
      Text += "  frontend: \"" + Each.frontend() + "\"\n  readiness: \"" +
              Each.readiness() + "\"\n";
    Text += "internal-ports:\n  - " + std::to_string(Ports::Internal) +
            "\n  - " + std::to_string(Ports::Internal + 15) + "\nseeds:\n";
    for (std::size_t At : m_seeds)
      Text += "  - \"" + m_machines[At].control() + "\"\n";
    Text += std::string("bootstrap: ") + (First ? "true" : "false") + "\n";
    Text += std::string("in-tolerance: ") + (Core ? "true" : "false") + "\n";
    Text += "limits:\n  cpu-share: 0.6\n  cpu-cores: 1\n  memory-mb: 256\n"
            "  max-fds: 4096\n  link-mbps: 1000.0\n  disk-mb: 128\n";
    Text += Core ? "data-dir: \"" +
                       (m_folder / (Each.Name + "-data")).string() + "\"\n"
                 : "data-dir: null\n";
    Text += "discovery: \"registration\"\nentry: \"anycast\"\n"
            "heartbeat-ms: 1200\n";
    Text += "fault-tolerance:\n  machines: " + std::to_string(m_tolerated) +
            "\n  zones: 0\n  regions: 0\n";
    Text += "bounds:\n  seed-lag-s: 3\n  reuse-after-s: 2\n"
            "  stable-window-ms: 3000\n  ack-ms: 4000\n  catch-up-s: 4\n"
            "  drain-ms: 2000\n  grace-s: 8\n  lost-ms: 200\n"
            "  config-apply-ms: 2000\n  downgrade-ms: 250\n  outer-ms: 5000\n"
            "  revoke-strict: true\n  revoke-ms: 5000\n"
            "  retry-budget-ratio: 0.2\n  budget-window-s: 10\n"
            "  retry-budget-slack: 109\n  recovery-s: 12\n  pass-ms: 120\n"
            "  retry-after-s: 0\n  stall-ms: 4000\n  enforce-fencing: true\n"
            "  ceiling-window-s: 5\n  ceiling-overage: 1.1\n"
            "config-mode: \"highest\"\n";
    std::ofstream(settingsOf(Each)) << Text;
  }

  Record &m_log;
  std::filesystem::path m_folder;
  std::string m_prefix;
  std::vector<Machine> m_machines;
  // At most one coordinator is added.
  std::vector<Machine> m_extra;
  std::vector<std::size_t> m_seeds = {0, 1, 2};
  std::size_t m_coordinators = 0;
  int m_tolerated = 1;
};

} // namespace review
