#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Edge/EdgeServices.h"
#include "turmericdyke/src/Fleet/Assignment.h"
#include "turmericdyke/src/Fleet/Order.h"

namespace turmericdyke {

/// Control of a single node that keeps its state in memory: takes declarations,
/// forms replicas first-fit and publishes the view.
class LocalControl : public ControlPort {
public:
  explicit LocalControl(EdgeServices &Services);
  ~LocalControl() override;

  OperatorReply declaration(std::optional<std::uint64_t> Revision) override;
  OperatorReply applyDeclaration(std::string_view Body) override;
  OperatorReply history() override;
  OperatorReply status() override;
  OperatorReply drain(std::string_view Body) override;
  Result<void, FleetError>
  announce(const TargetAnnouncement &Announcement) override;

private:
  struct KnownTarget {
    TargetAnnouncement m_announcement;
    Instant m_heard;
  };

  void run();
  std::vector<std::pair<std::string, Order>> step(Instant Now);
  void form(Instant Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  void publish(Instant Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
  bool fresh(const TargetId &Target, Instant Now) const
      ABSL_SHARED_LOCKS_REQUIRED(m_lock);
  bool serves(const Assignment &Candidate, Instant Now) const
      ABSL_SHARED_LOCKS_REQUIRED(m_lock);
  bool assigned(const TargetId &Target) const
      ABSL_SHARED_LOCKS_REQUIRED(m_lock);

  EdgeServices &m_services;
  absl::Mutex m_lock;
  std::uint64_t m_revision ABSL_GUARDED_BY(m_lock) = 0;
  std::shared_ptr<const Declaration>
      m_declaration ABSL_GUARDED_BY(m_lock) = std::make_shared<Declaration>();
  std::map<TargetId, KnownTarget> m_targets ABSL_GUARDED_BY(m_lock);
  std::vector<Assignment> m_assignments ABSL_GUARDED_BY(m_lock);
  std::uint64_t m_nextFence ABSL_GUARDED_BY(m_lock) = 1;
  bool m_stopped ABSL_GUARDED_BY(m_lock) = false;
  std::thread m_thread;
};

} // namespace turmericdyke
