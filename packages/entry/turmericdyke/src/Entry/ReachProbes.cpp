#include "turmericdyke/src/Entry/ReachProbes.h"

#include <sys/epoll.h>
#include <utility>

#include "turmericdyke/src/Entry/EntryServices.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A connection is established within two milliseconds; a lost packet is sent
/// again after one second.
constexpr absl::Duration ProbeTimeout = absl::Milliseconds(400);
/// A path that is cut may accept a connection and reset it a round trip later.
constexpr absl::Duration ResetTime = absl::Milliseconds(50);

} // namespace
} // namespace internal

ReachProbes::ReachProbes(EntryServices &Services) : m_services(Services) {}

ReachProbes::~ReachProbes() {
  for (auto &[Id, Running] : m_running)
    drop(Running);
}

void ReachProbes::check() {
  Instant Now = monotonicNow();
  for (const ServiceId &Service : m_services.m_reach.servicesToProbe(Now)) {
    std::vector<TargetId> Listed = m_services.targetsOf(Service);
    for (const TargetId &Id : m_services.m_reach.takeProbes(
             Now, Service, Listed, m_services.m_random))
      if (m_running.count(Id) == 0)
        start(m_services.m_feed.targets().at(Id));
  }
}

void ReachProbes::start(const ServingTarget &Target) {
  m_services.m_metrics.increment("turmericdyke_reach_probes_total");
  Result<internal::Descriptor, SocketError> Socket =
      internal::connectTo(Target.m_address);
  if (!Socket)
    return m_services.recordConnection(Target, false);
  TargetId Id = Target.m_id;
  Probe &Started = m_running[Id];
  Started.m_target = Target;
  Started.m_socket = std::move(Socket).value();
  Started.m_timeout = m_services.m_loop.after(
      internal::ProbeTimeout, [this, Id] { finish(Id, false); });
  m_services.m_loop.watch(Started.m_socket.get(), EPOLLOUT,
                          [this, Id](std::uint32_t) { onReady(Id); });
}

void ReachProbes::onReady(const TargetId &Id) {
  Probe &Ready = m_running.at(Id);
  bool First = !std::exchange(Ready.m_established, true);
  // Targets send nothing before a request.
  if (!First || internal::pendingError(Ready.m_socket) != 0)
    return finish(Id, false);
  m_services.m_loop.change(Ready.m_socket.get(), EPOLLIN);
  m_services.m_loop.cancel(Ready.m_timeout);
  Ready.m_timeout = m_services.m_loop.after(internal::ResetTime,
                                            [this, Id] { finish(Id, true); });
}

void ReachProbes::drop(Probe &Running) {
  m_services.m_loop.unwatch(Running.m_socket.get());
  m_services.m_loop.cancel(Running.m_timeout);
}

void ReachProbes::finish(const TargetId &Id, bool Works) {
  auto Found = m_running.find(Id);
  drop(Found->second);
  ServingTarget Target = std::move(Found->second.m_target);
  m_running.erase(Found);
  m_services.recordConnection(Target, Works);
}

} // namespace turmericdyke
