// The node: serves callers, targets, operators and the other nodes until it is
// told to stop.

#include <csignal>
#include <cstdio>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "absl/time/clock.h"
#include "turmericdyke/Base"
#include "turmericdyke/Edge"
#include "turmericdyke/src/Node/LocalControl.h"
#include "turmericdyke/src/Node/Settings.h"

DEFINE_bool(check_settings, false, "check the settings and exit");

using namespace turmericdyke;

namespace {

constexpr int SettingsExitCode = 2;
constexpr int PortExitCode = 3;
constexpr absl::Duration DrainPoll = absl::Milliseconds(20);

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

/// Whether another stop signal arrives within `Wait`.
bool secondSignal(const sigset_t &Signals, absl::Duration Wait) {
  timespec Limit = absl::ToTimespec(Wait);
  return sigtimedwait(&Signals, nullptr, &Limit) > 0;
}

void drain(CallerServer &Callers, const Settings &Checked,
           const sigset_t &Signals) {
  Instant Start = monotonicNow();
  Callers.startDraining();
  LogLine(LogLevel::Info, "drain_started")
      .field("in_flight", Callers.inFlight());
  for (;;) {
    Instant Now = monotonicNow();
    bool NoticeOver = Now >= Start + Checked.m_balancerNotice;
    if (NoticeOver && Callers.inFlight() == 0)
      return;
    if (secondSignal(Signals, DrainPoll) ||
        Now >= Start + Checked.m_drainLimit) {
      LogLine(LogLevel::Warning, "drain_cut_short")
          .field("cut_off", Callers.inFlight());
      return;
    }
  }
}

int serve(const Settings &Checked) {
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  EdgeServices Services;
  Services.m_node = Checked.m_node;
  Services.m_incarnation =
      static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
  LocalControl Control(Services);
  CallerOptions Options;
  Options.m_host = Checked.m_callerAddress.m_host;
  Options.m_port = Checked.m_callerAddress.m_port;
  Options.m_maxConnections = Checked.m_maxCallerConnections;
  Options.m_maxBodyBytes = Checked.m_maxBodyBytes;
  CallerServer Callers(Services, Options);
  ControlServer Targets(Services,
                        {Checked.m_targetAddress.m_host,
                         Checked.m_targetAddress.m_port,
                         Checked.m_targetKeyHash},
                        "target");
  Targets.addTargetRoutes(Control);
  ControlServer Operators(Services,
                          {Checked.m_operatorAddress.m_host,
                           Checked.m_operatorAddress.m_port,
                           Checked.m_operatorKeyHash},
                          "operator");
  Operators.addOperatorRoutes(Control);
  if (!Callers.start() || !Targets.start() || !Operators.start()) {
    LogLine(LogLevel::Error, "port_not_bound").field("node", Checked.m_node);
    return PortExitCode;
  }
  LogLine(LogLevel::Info, "node_started")
      .field("node", Checked.m_node)
      .field("caller_port", Callers.port())
      .field("target_port", Targets.port())
      .field("operator_port", Operators.port());
  int Received = 0;
  sigwait(&Signals, &Received);
  drain(Callers, Checked, Signals);
  LogLine(LogLevel::Info, "node_stopped").field("node", Checked.m_node);
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
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (ArgumentCount > 1)
    return failSettings({Arguments[1], "is not a flag"});
  Result<Settings, SettingsError> Checked = parseSettings();
  if (!Checked)
    return failSettings(Checked.error());
  if (FLAGS_check_settings)
    return 0;
  return serve(Checked.value());
}
