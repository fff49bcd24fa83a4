// Runs a node, which serves callers, targets, operators and other nodes until
// it receives a stop signal.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "platform/PlatformMain.h"
#include "turmericdyke/Base"
#include "turmericdyke/src/Node/Node.h"
#include "turmericdyke/src/Node/Settings.h"

DEFINE_bool(check_settings, false, "validate the settings and exit");
DEFINE_string(
    role, "",
    "run as this kind of platform node, with its settings file: entry or "
    "coordinator");

namespace GFLAGS_NAMESPACE {
/// gflags calls this function when it cannot parse the command line. It exports
/// the variable but declares it in no header.
// NOLINTNEXTLINE(readability-identifier-naming): the name is that of gflags.
extern void (*gflags_exitfunc)(int);
} // namespace GFLAGS_NAMESPACE

using namespace turmericdyke;

namespace {

constexpr int SettingsExitCode = 2;
constexpr int StartExitCode = 3;
constexpr int CutOffExitCode = 4;

int failSettings(const SettingsError &Error) {
  fmt::print(stderr, "turmericdyked: {}: {}\n", Error.m_setting,
             Error.m_message);
  return SettingsExitCode;
}

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

int serve(const Settings &NodeSettings) {
  // Blocks the signals before any thread starts, so that only this thread
  // receives them.
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Result<std::unique_ptr<Node>, NodeError> Started = Node::start(NodeSettings);
  if (!Started) {
    fmt::print(stderr, "turmericdyked: {}\n", Started.error().m_message);
    return StartExitCode;
  }
  int Received = 0;
  sigwait(&Signals, &Received);
  auto SecondSignal = [&Signals](absl::Duration Wait) {
    timespec Limit = absl::ToTimespec(Wait);
    return sigtimedwait(&Signals, nullptr, &Limit) > 0;
  };
  std::int64_t CutOff = Started.value()->drain(SecondSignal);
  LogLine(LogLevel::Info, "node_stopped").field("node", NodeSettings.m_node);
  // Returning normally would wait for the requests that were aborted.
  if (CutOff > 0)
    std::_Exit(CutOffExitCode);
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "serves language models whose replicas span several hosts");
  gflags::SetVersionString(TURMERICDYKE_VERSION);
  Result<void, SettingsError> Environment = readEnvironment();
  if (!Environment)
    return failSettings(Environment.error());
  // By default, gflags would exit with code 1.
  auto *Exit = std::exchange(GFLAGS_NAMESPACE::gflags_exitfunc,
                             [](int) { std::exit(SettingsExitCode); });
  gflags::ParseCommandLineNonHelpFlags(&ArgumentCount, &Arguments, true);
  GFLAGS_NAMESPACE::gflags_exitfunc = Exit;
  gflags::HandleCommandLineHelpFlags();
  if (ArgumentCount > 1)
    return failSettings({Arguments[1], "is not a flag"});
  if (!FLAGS_role.empty())
    return platform::runRole(FLAGS_role);
  Result<Settings, SettingsError> NodeSettings = parseSettings();
  if (!NodeSettings)
    return failSettings(NodeSettings.error());
  if (FLAGS_check_settings)
    return 0;
  return serve(NodeSettings.value());
}
