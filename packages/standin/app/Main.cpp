// Runs stand-in targets, each announced on its own host name, until it receives
// a stop signal.

#include <csignal>
#include <memory>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "absl/strings/str_split.h"
#include "turmericdyke/Base"
#include "turmericdyke/StandIn"

DEFINE_string(name, "target", "prefix of the names of targets and hosts");
DEFINE_int32(count, 1, "number of targets, each on its own host");
DEFINE_string(nodes, "127.0.0.1:8081",
              "target ports of the nodes as IP:port, separated by commas");
DEFINE_string(target_key, "", "key that targets send with their announcements");
DEFINE_string(fabric_domain, "fabric-1", "fabric domain of all targets");
DEFINE_string(failure_domain, "domain-1", "failure domain of all targets");
DEFINE_int32(accelerators, 8, "accelerators per host");
DEFINE_string(
    service, "",
    "plain service that the targets provide; empty for model servers");
DEFINE_int32(token_interval_ms, 5, "time between tokens in milliseconds");
DEFINE_int32(load_ms, 200, "time to load weights in milliseconds");
DEFINE_string(crash_text, "",
              "a request that contains this text ends the process");

using namespace turmericdyke;

namespace {

StandInOptions optionsOf(int Index) {
  StandInOptions Options;
  Options.m_target = TargetId(fmt::format("{}-{}", FLAGS_name, Index));
  Options.m_host = HostId(fmt::format("host-{}-{}", FLAGS_name, Index));
  Options.m_fabricDomain = FabricDomainId(FLAGS_fabric_domain);
  Options.m_failureDomain = FailureDomainId(FLAGS_failure_domain);
  Options.m_accelerators = FLAGS_accelerators;
  Options.m_kind =
      FLAGS_service.empty() ? TargetKind::Model : TargetKind::Service;
  Options.m_service = ServiceId(FLAGS_service);
  Options.m_nodes = absl::StrSplit(FLAGS_nodes, ',');
  Options.m_targetKey = FLAGS_target_key;
  Options.m_tokenInterval = absl::Milliseconds(FLAGS_token_interval_ms);
  Options.m_loadTime = absl::Milliseconds(FLAGS_load_ms);
  Options.m_crashText = FLAGS_crash_text;
  return Options;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::vector<std::unique_ptr<StandInTarget>> Targets;
  for (int Index = 0; Index < FLAGS_count; ++Index) {
    Targets.push_back(std::make_unique<StandInTarget>(optionsOf(Index)));
    LogLine(LogLevel::Info, "stand_in_started")
        .field("target", optionsOf(Index).m_target)
        .field("address", Targets.back()->address());
  }
  int Received = 0;
  sigwait(&Signals, &Received);
  return 0;
}
