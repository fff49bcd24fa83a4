#include "turmericdyke/src/Node/Node.h"

#include <utility>

#include <fmt/format.h>

#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration DrainPollInterval = absl::Milliseconds(20);
/// A caller that neither reads nor writes for this long is disconnected.
constexpr absl::Duration CallerTimeout = absl::Seconds(10);

HttpPortOptions portOptions(const ListenAddress &Address) {
  HttpPortOptions Options;
  Options.m_host = Address.m_host;
  Options.m_port = Address.m_port;
  return Options;
}

HttpPortOptions callerOptions(const Settings &NodeSettings) {
  HttpPortOptions Options = portOptions(NodeSettings.m_callerAddress);
  Options.m_maxConnections = NodeSettings.m_maxCallerConnections;
  Options.m_maxBodyBytes = NodeSettings.m_maxBodyBytes;
  Options.m_readTimeout = CallerTimeout;
  Options.m_writeTimeout = CallerTimeout;
  return Options;
}

NodeError portError(std::string_view Name, const ListenAddress &Address) {
  return {fmt::format("cannot listen for {} on {}", Name, Address.text())};
}

} // namespace
} // namespace internal

Node::Node(Settings NodeSettings, std::optional<DataDirectory> Directory)
    : m_settings(std::move(NodeSettings)),
      m_control(m_services, m_settings, std::move(Directory)),
      m_callers(m_services, m_control, internal::callerOptions(m_settings)),
      m_targets(m_services, internal::portOptions(m_settings.m_targetAddress),
                m_settings.m_targetKeyHash, "target"),
      m_operators(m_services,
                  internal::portOptions(m_settings.m_operatorAddress),
                  m_settings.m_operatorKeyHash, "operator") {
  m_services.m_node = m_settings.m_node;
  m_services.m_incarnation =
      static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
  m_services.m_onceOnlyIncarnation = m_services.m_incarnation;
  m_targets.addTargetRoutes(m_control);
  m_operators.addOperatorRoutes(m_control);
}

Node::~Node() {
  m_callers.stop();
  m_control.stop();
}

Result<std::unique_ptr<Node>, NodeError> Node::start(Settings NodeSettings) {
  std::optional<DataDirectory> Directory;
  if (!NodeSettings.m_dataDirectory.empty()) {
    auto Opened = DataDirectory::open(NodeSettings.m_dataDirectory);
    if (!Opened)
      return failure(NodeError{Opened.error().m_message});
    for (const std::string &Notice : Opened.value().notices())
      LogLine(LogLevel::Warning, "data_directory_repaired")
          .field("notice", Notice);
    Directory = std::move(Opened).value();
  }
  std::unique_ptr<Node> Created(
      new Node(std::move(NodeSettings), std::move(Directory)));
  Result<void, NodeError> Opened = Created->open();
  if (!Opened)
    return failure(Opened.error());
  return Created;
}

Result<void, NodeError> Node::open() {
  Result<void, std::string> Control = m_control.start();
  if (!Control)
    return failure(NodeError{Control.error()});
  if (!m_callers.start())
    return failure(internal::portError("callers", m_settings.m_callerAddress));
  if (!m_targets.start())
    return failure(internal::portError("targets", m_settings.m_targetAddress));
  if (!m_operators.start())
    return failure(
        internal::portError("operators", m_settings.m_operatorAddress));
  LogLine(LogLevel::Info, "node_started")
      .field("node", m_settings.m_node)
      .field("incarnation", m_services.m_incarnation)
      .field("caller_port", callerPort())
      .field("target_port", targetPort())
      .field("operator_port", operatorPort())
      .field("durable", !m_settings.m_dataDirectory.empty());
  return success();
}

std::int64_t
Node::drain(const std::function<bool(absl::Duration)> &WaitForAbort) {
  Instant Start = monotonicNow();
  m_callers.startDraining();
  LogLine(LogLevel::Info, "drain_started")
      .field("in_flight", m_callers.inFlight());
  bool Aborted = false;
  while (!Aborted) {
    Instant Now = monotonicNow();
    bool NoticeOver = Now >= Start + m_settings.m_balancerNotice;
    if (NoticeOver && m_callers.inFlight() == 0)
      break;
    Aborted = WaitForAbort(internal::DrainPollInterval) ||
              Now >= Start + m_settings.m_drainLimit;
  }
  std::int64_t CutOff = Aborted ? m_callers.inFlight() : 0;
  LogLine(CutOff == 0 ? LogLevel::Info : LogLevel::Warning, "drain_ended")
      .field("cut_off", CutOff);
  m_control.stop();
  return CutOff;
}

} // namespace turmericdyke
