#include "NodeProcess.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>

#include "absl/time/clock.h"

namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(10);
constexpr int NotStartedExitCode = 127;

[[noreturn]] void fail(const char *What) {
  fmt::print(stderr, "live test: {} failed\n", What);
  std::abort();
}

} // namespace

ReservedPort::ReservedPort() {
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Yes = 1;
  setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
  setsockopt(m_socket, SOL_SOCKET, SO_REUSEPORT, &Yes, sizeof Yes);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof Address;
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(m_socket, Generic, Size) != 0 ||
      getsockname(m_socket, Generic, &Size) != 0)
    fail("binding a port");
  m_port = ntohs(Address.sin_port);
}

ReservedPort::~ReservedPort() { close(m_socket); }

std::string ReservedPort::address() const {
  return fmt::format("127.0.0.1:{}", m_port);
}

NodeProcess::NodeProcess(std::vector<std::string> Arguments, std::string Log)
    : m_arguments(std::move(Arguments)), m_log(std::move(Log)) {}

NodeProcess::~NodeProcess() { kill(); }

void NodeProcess::start() {
  std::string Program = TURMERICDYKED_PATH;
  std::vector<char *> Pointers = {Program.data()};
  for (std::string &Argument : m_arguments)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  pid_t Parent = getpid();
  m_pid = fork();
  if (m_pid < 0)
    fail("fork");
  if (m_pid > 0)
    return;
  // Between fork and exec, only async-signal-safe calls are allowed, as other
  // threads of the test may hold locks.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(NotStartedExitCode);
  int Log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  // Inherited sockets would keep the ports of stand-in targets open after their
  // crash.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Program.c_str(), Pointers.data());
  _exit(NotStartedExitCode);
}

void NodeProcess::signal(int Number) const {
  if (m_pid > 0)
    ::kill(m_pid, Number);
}

void NodeProcess::kill() {
  if (m_pid <= 0)
    return;
  signal(SIGKILL);
  waitpid(m_pid, nullptr, 0);
  m_pid = -1;
}

std::optional<int> NodeProcess::waitForExit(absl::Duration Limit) {
  absl::Time Until = absl::Now() + Limit;
  for (;;) {
    int Status = 0;
    if (waitpid(m_pid, &Status, WNOHANG) == m_pid) {
      m_pid = -1;
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
    }
    if (absl::Now() >= Until)
      return std::nullopt;
    absl::SleepFor(PollInterval);
  }
}
