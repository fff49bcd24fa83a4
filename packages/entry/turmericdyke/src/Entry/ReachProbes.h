#pragma once

#include <map>

#include "turmericdyke/src/Fleet/FeedMessage.h"
#include "turmericdyke/src/Loop/EventLoop.h"

namespace turmericdyke {

struct EntryServices;

/// Opens connections to targets where `TargetReach` asks for evidence, and
/// closes them again. One that is established and not closed at once works.
class ReachProbes {
public:
  explicit ReachProbes(EntryServices &Services);
  ~ReachProbes();
  ReachProbes(const ReachProbes &) = delete;
  ReachProbes &operator=(const ReachProbes &) = delete;

  /// Starts the probes that are due.
  void check();

private:
  struct Probe {
    ServingTarget m_target;
    internal::Descriptor m_socket;
    EventLoop::Timer m_timeout;
    bool m_established = false;
  };

  void start(const ServingTarget &Target);
  void onReady(const TargetId &Id);
  void finish(const TargetId &Id, bool Works);
  void drop(Probe &Running);

  EntryServices &m_services;
  std::map<TargetId, Probe> m_running;
};

} // namespace turmericdyke
