#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "turmericdyke/src/Admission/AdmissionRequest.h"
#include "turmericdyke/src/Admission/YieldPolicy.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke {

struct AdmissionOptions {
  /// Bounds of the queues of one node and pool, and of one customer in it.
  std::int64_t m_maxQueued = 4096;
  std::int64_t m_maxQueuedPerCustomer = 1024;
  std::int64_t m_maxQueuedBytes = 64 << 20;
  /// Largest share of the slots that long requests may hold, in (0, 1].
  double m_longShare = 0.5;
  /// Part of the unused capacity held that borrowers leave free, so that its
  /// holder does not wait for a borrower to finish.
  double m_heldReserve = 0;
  /// A waiting customer that nothing was started for gains one rank per this
  /// time, so that a low rank is served late but not never.
  absl::Duration m_rankAgeing = absl::Seconds(1);
  /// Deadlines within the same multiple of this count as equal.
  absl::Duration m_deadlineStep = absl::Seconds(1);
  /// Assumed time until the next lease: two of the node's requests for it.
  absl::Duration m_leaseWait = absl::Milliseconds(500);
  /// Assumed before anything was measured.
  absl::Duration m_shortService = absl::Seconds(1);
  absl::Duration m_longService = absl::Seconds(10);
  YieldOptions m_yield = {};
};

/// Decides on one node which requests of one pool run, wait or are refused.
///
/// A request starts at once if a slot is free, the customer is below its limit,
/// long requests leave room for it, and it either falls under the capacity held
/// or borrowing is possible. Otherwise it waits if its predicted wait fits its
/// deadline and the queues have room, and is refused if not. A freed slot goes
/// to capacity held first, then by rank, deadline and fairness (work in
/// relation to capacity held).
///
/// Events may decide about other requests than their own; callers fetch those
/// decisions with `takeDecisions` after each event, and call `tick` by
/// `nextExpiry`. The memory is bounded by slots and queue bounds.
class AdmissionController {
public:
  explicit AdmissionController(AdmissionOptions Options = {});

  /// Adds or changes a customer. A share set by `setShare` stays in force.
  void setCustomer(Instant Now, const Customer &Settings);
  /// Refuses what the customer has queued; what runs may finish.
  void removeCustomer(Instant Now, const CustomerId &Id);
  /// Sets the part of the customer's capacity that this node leases.
  void setShare(Instant Now, const CustomerId &Id, CustomerShare Share);
  /// Sets the requests that this node may run at a time. When it is lowered,
  /// running requests finish and none starts until the number is below it.
  void setSlots(Instant Now, std::int64_t Slots);
  /// Whether this node may be leased slots and shares beyond what it has now.
  /// If so, a request that finds none waits for the next lease.
  void setLeaseable(bool Leaseable) { m_leaseable = Leaseable; }
  void setLongShare(Instant Now, double Share);

  /// The decision for a new request: started, queued or refused.
  AdmissionDecision offer(Instant Now, const AdmissionRequest &Request);
  /// The first token of a running request arrived.
  void firstToken(Instant Now, const RequestId &Id);
  /// Corrects the class of a running request.
  void reclassify(Instant Now, const RequestId &Id, RequestClass Class);
  /// A running request ended, or the caller of any request left. A queued
  /// request leaves without a decision. Unknown identifiers are ignored.
  void finish(Instant Now, const RequestId &Id);
  /// Expires queued requests that can no longer make their deadline.
  void tick(Instant Now);

  /// The long request that should yield its slot to waiting short work, if any.
  std::optional<RequestId> yieldCandidate(Instant Now) const;
  /// A running long request gave up its slot and waits to resume, which is
  /// announced as `Admitted`. It does not expire; see `YieldPolicy` for the
  /// bound on its wait.
  void yield(Instant Now, const RequestId &Id);

  /// Decisions about queued requests since the last call, in order.
  std::vector<AdmissionDecision> takeDecisions();

  /// Wait that a new request of the customer would have; infinite when it
  /// cannot start by itself.
  absl::Duration predictWait(const CustomerId &Id, RequestClass Class) const;
  Instant nextExpiry() const;
  std::int64_t slots() const { return m_slots; }
  std::int64_t running() const { return m_running; }
  std::int64_t runningLong() const { return m_runningLong; }
  std::int64_t runningOf(const CustomerId &Id) const;
  std::int64_t queued() const { return m_queued; }
  std::int64_t queuedOf(const CustomerId &Id) const;
  std::int64_t queuedBytes() const { return m_queuedBytes; }

private:
  /// The queues of a customer; paused requests have started before.
  enum QueueKind { ShortQueue, LongQueue, PausedQueue, QueueKinds };

  struct Entry {
    RequestId m_id;
    CustomerId m_customer;
    RequestClass m_class = RequestClass::Short;
    std::int64_t m_bytes = 0;
    Instant m_queuedAt;
    /// First token for a new request, end of the pause for a paused one.
    Instant m_deadline;
    Instant m_startedAt;
    absl::Duration m_ranBefore = absl::ZeroDuration();
    std::int64_t m_yields = 0;
    bool m_hadFirstToken = false;
    bool m_isRunning = false;
    QueueKind m_queue = ShortQueue;
  };
  using EntryList = std::list<Entry>;

  struct CustomerState {
    CustomerId m_id;
    std::int64_t m_weight = 1;
    std::int64_t m_rank = 0;
    absl::Duration m_firstTokenDeadline;
    CustomerShare m_declared;
    std::optional<CustomerShare> m_leased;
    bool m_removed = false;
    std::int64_t m_running = 0;
    std::int64_t m_queuedBytes = 0;
    Instant m_lastStart = absl::InfinitePast();
    /// Each in order of deadline.
    std::array<EntryList, QueueKinds> m_queues;

    CustomerShare share() const { return m_leased.value_or(m_declared); }
    std::int64_t queued() const;
    bool isUnderHeld() const { return m_running < share().m_held; }
  };

  /// Order in which waiting requests get a slot; lower is first.
  using Priority = std::tuple<bool, bool, std::int64_t, std::int64_t, double>;

  bool canStart(const CustomerState &C, RequestClass Class) const;
  std::int64_t longRoom() const;
  std::int64_t heldReserve() const;
  Priority priority(Instant Now, const CustomerState &C, QueueKind Kind) const;
  void dispatch(Instant Now);
  void start(Instant Now, EntryList::iterator Item);
  EntryList::iterator enqueue(Entry Item, QueueKind Kind);
  Entry dequeue(EntryList::iterator Item);
  void countRunning(CustomerState &C, RequestClass Class, int By);
  void expire(Instant Now);
  void refuse(EntryList::iterator Item, RefusalReason Reason);
  void dropIfUnused(const CustomerId &Id);
  void learnService(Instant Now, const Entry &Item);
  bool hasQueueRoom(const CustomerState &C, std::int64_t Bytes) const;
  absl::Duration firstTokenTime(RequestClass Class) const;
  Instant latestStart(const Entry &Item) const;
  absl::Duration retryAfter(absl::Duration Wait) const;
  /// When the customer's first waiting short request must start.
  Instant shortStart(const CustomerState &C) const;
  /// The same over all customers below their limit.
  Instant urgentShortStart() const;

  AdmissionOptions m_options;
  YieldPolicy m_yieldPolicy;
  std::int64_t m_slots = 0;
  bool m_leaseable = false;
  std::int64_t m_running = 0;
  std::int64_t m_runningLong = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_queuedBytes = 0;
  /// Measured means, by class.
  std::array<absl::Duration, 2> m_service;
  std::array<absl::Duration, 2> m_firstToken = {absl::ZeroDuration(),
                                                absl::ZeroDuration()};
  /// Mean distance of the time to first token from its mean, by class.
  std::array<absl::Duration, 2> m_firstTokenDeviation = {absl::ZeroDuration(),
                                                         absl::ZeroDuration()};
  std::map<CustomerId, CustomerState> m_customers;
  EntryList m_runningEntries;
  absl::flat_hash_map<RequestId, EntryList::iterator> m_entries;
  std::vector<AdmissionDecision> m_decisions;
};

} // namespace turmericdyke
