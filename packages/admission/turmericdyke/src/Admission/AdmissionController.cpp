#include "turmericdyke/src/Admission/AdmissionController.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace turmericdyke {

namespace {

/// Part of a new measurement in the running means.
constexpr double Smoothing = 0.05;
constexpr absl::Duration LeastRetryAfter = absl::Seconds(1);
constexpr absl::Duration MostRetryAfter = absl::Seconds(60);

std::size_t indexOf(RequestClass Class) {
  return static_cast<std::size_t>(Class);
}

void learn(absl::Duration &Mean, absl::Duration Value) {
  Mean += Smoothing * (Value - Mean);
}

} // namespace

AdmissionController::AdmissionController(AdmissionOptions Options)
    : m_options(Options), m_yieldPolicy(Options.m_yield),
      m_service({Options.m_shortService, Options.m_longService}) {
  assert(Options.m_deadlineStep > absl::ZeroDuration() &&
         Options.m_rankAgeing > absl::ZeroDuration() &&
         "deadlines and waits are counted in steps");
}

std::int64_t AdmissionController::CustomerState::queued() const {
  std::size_t Sum = 0;
  for (const EntryList &Queue : m_queues)
    Sum += Queue.size();
  return static_cast<std::int64_t>(Sum);
}

void AdmissionController::setCustomer(Instant Now, const Customer &Settings) {
  CustomerState &C = m_customers[Settings.m_id];
  C.m_id = Settings.m_id;
  C.m_weight = std::max<std::int64_t>(1, Settings.m_capacity);
  C.m_rank = Settings.m_rank;
  C.m_firstTokenDeadline = Settings.m_firstTokenDeadline;
  C.m_declared = {Settings.m_capacity, Settings.m_capacityLimit};
  C.m_removed = false;
  tick(Now);
}

void AdmissionController::removeCustomer(Instant Now, const CustomerId &Id) {
  auto Found = m_customers.find(Id);
  if (Found == m_customers.end())
    return;
  CustomerState &C = Found->second;
  C.m_removed = true;
  C.m_declared = {};
  C.m_leased.reset();
  // A paused request has started, so it is resumed instead of refused.
  for (QueueKind Kind : {ShortQueue, LongQueue})
    while (!C.m_queues[Kind].empty())
      refuse(C.m_queues[Kind].begin(), RefusalReason::CustomerRemoved);
  dropIfUnused(Id);
  tick(Now);
}

void AdmissionController::setShare(Instant Now, const CustomerId &Id,
                                   CustomerShare Share) {
  auto Found = m_customers.find(Id);
  if (Found == m_customers.end() || Found->second.m_removed)
    return;
  Found->second.m_leased = Share;
  tick(Now);
}

void AdmissionController::setSlots(Instant Now, std::int64_t Slots) {
  m_slots = std::max<std::int64_t>(0, Slots);
  tick(Now);
}

void AdmissionController::setLongShare(Instant Now, double Share) {
  m_options.m_longShare = Share;
  tick(Now);
}

AdmissionDecision AdmissionController::offer(Instant Now,
                                             const AdmissionRequest &Request) {
  tick(Now);
  AdmissionDecision Decision;
  Decision.m_id = Request.m_id;
  Decision.m_retryAfter = LeastRetryAfter;
  auto Found = m_customers.find(Request.m_customer);
  if (Found == m_customers.end() || Found->second.m_removed) {
    Decision.m_reason = RefusalReason::UnknownCustomer;
    return Decision;
  }
  if (m_entries.contains(Request.m_id)) {
    Decision.m_reason = RefusalReason::DuplicateRequest;
    return Decision;
  }
  CustomerState &C = Found->second;
  absl::Duration Within =
      std::min(Request.m_firstTokenWithin.value_or(C.m_firstTokenDeadline),
               C.m_firstTokenDeadline);
  Entry Item;
  Item.m_id = Request.m_id;
  Item.m_customer = Request.m_customer;
  Item.m_class = Request.m_class;
  Item.m_bytes = std::max<std::int64_t>(0, Request.m_bytes);
  Item.m_queuedAt = Now;
  Item.m_deadline = Now + Within;
  QueueKind Kind =
      Request.m_class == RequestClass::Long ? LongQueue : ShortQueue;
  // Nothing that waits can start, so a request that can start overtakes none.
  if (canStart(C, Request.m_class)) {
    start(Now, enqueue(std::move(Item), Kind));
    Decision.m_outcome = AdmissionOutcome::Admitted;
    Decision.m_retryAfter = absl::ZeroDuration();
    return Decision;
  }
  absl::Duration Wait = predictWait(Request.m_customer, Request.m_class);
  if (!hasQueueRoom(C, Item.m_bytes))
    Decision.m_reason = RefusalReason::QueueFull;
  else if (Now + Wait > latestStart(Item))
    Decision.m_reason = RefusalReason::WouldMissDeadline;
  if (Decision.m_reason != RefusalReason::None) {
    Decision.m_retryAfter = retryAfter(Wait);
    return Decision;
  }
  enqueue(std::move(Item), Kind);
  Decision.m_outcome = AdmissionOutcome::Queued;
  Decision.m_retryAfter = absl::ZeroDuration();
  return Decision;
}

void AdmissionController::firstToken(Instant Now, const RequestId &Id) {
  auto Found = m_entries.find(Id);
  if (Found == m_entries.end() || !Found->second->m_isRunning)
    return;
  Entry &Item = *Found->second;
  if (Item.m_hadFirstToken)
    return;
  Item.m_hadFirstToken = true;
  absl::Duration Took = Now - Item.m_startedAt;
  absl::Duration &Mean = m_firstToken[indexOf(Item.m_class)];
  learn(m_firstTokenDeviation[indexOf(Item.m_class)],
        absl::AbsDuration(Took - Mean));
  learn(Mean, Took);
}

void AdmissionController::reclassify(Instant Now, const RequestId &Id,
                                     RequestClass Class) {
  auto Found = m_entries.find(Id);
  if (Found == m_entries.end() || !Found->second->m_isRunning)
    return;
  Entry &Item = *Found->second;
  CustomerState &C = m_customers.at(Item.m_customer);
  countRunning(C, Item.m_class, -1);
  Item.m_class = Class;
  countRunning(C, Class, 1);
  tick(Now);
}

void AdmissionController::finish(Instant Now, const RequestId &Id) {
  auto Found = m_entries.find(Id);
  if (Found == m_entries.end())
    return;
  EntryList::iterator Item = Found->second;
  CustomerId Owner = Item->m_customer;
  if (Item->m_isRunning) {
    learnService(Now, *Item);
    countRunning(m_customers.at(Owner), Item->m_class, -1);
    m_entries.erase(Found);
    m_runningEntries.erase(Item);
  } else {
    dequeue(Item);
  }
  dropIfUnused(Owner);
  tick(Now);
}

void AdmissionController::tick(Instant Now) {
  expire(Now);
  dispatch(Now);
}

std::optional<RequestId>
AdmissionController::yieldCandidate(Instant Now) const {
  Instant Urgent = urgentShortStart();
  const Entry *Best = nullptr;
  for (const Entry &Item : m_runningEntries) {
    if (Item.m_class != RequestClass::Long)
      continue;
    // A customer at its limit is helped by a yield of its own request only.
    const CustomerState &Owner = m_customers.at(Item.m_customer);
    Instant Start = std::min(Urgent, shortStart(Owner));
    if (!m_yieldPolicy.shouldYield(Now, Item.m_startedAt, Item.m_yields, Start))
      continue;
    if (!Best || Item.m_yields < Best->m_yields)
      Best = &Item;
  }
  return Best ? std::optional<RequestId>(Best->m_id) : std::nullopt;
}

void AdmissionController::yield(Instant Now, const RequestId &Id) {
  auto Found = m_entries.find(Id);
  if (Found == m_entries.end() || !Found->second->m_isRunning)
    return;
  EntryList::iterator Item = Found->second;
  countRunning(m_customers.at(Item->m_customer), Item->m_class, -1);
  Entry Paused = std::move(*Item);
  m_runningEntries.erase(Item);
  Paused.m_isRunning = false;
  Paused.m_ranBefore += Now - Paused.m_startedAt;
  ++Paused.m_yields;
  Paused.m_queuedAt = Now;
  Paused.m_deadline = Now + m_options.m_yield.m_maxPause;
  enqueue(std::move(Paused), PausedQueue);
  tick(Now);
}

std::vector<AdmissionDecision> AdmissionController::takeDecisions() {
  return std::exchange(m_decisions, {});
}

absl::Duration AdmissionController::predictWait(const CustomerId &Id,
                                                RequestClass Class) const {
  auto Found = m_customers.find(Id);
  if (Found == m_customers.end())
    return absl::InfiniteDuration();
  const CustomerState &C = Found->second;
  CustomerShare Share = C.share();
  bool IsLong = Class == RequestClass::Long;
  // Where long requests hold every slot, one of them yields to short work.
  std::int64_t Usable =
      IsLong ? longRoom() : std::max<std::int64_t>(1, m_slots - m_runningLong);
  Usable = std::min(m_slots, Usable);
  // Customers of a later rank do not hold this one up.
  std::int64_t Weights = C.m_weight;
  std::int64_t Queued = C.queued() + 1;
  for (const auto &[Other, State] : m_customers) {
    bool IsActive = State.m_running > 0 || State.queued() > 0;
    if (Other == Id || !IsActive || State.m_rank > C.m_rank)
      continue;
    Weights += State.m_weight;
    Queued += State.queued();
  }
  // A share that its customer has no work for goes to those that wait, so the
  // part of the queue counts where it is larger than the part by weight.
  double PartByWeight =
      static_cast<double>(C.m_weight) / static_cast<double>(Weights);
  double PartOfQueue =
      static_cast<double>(C.queued() + 1) / static_cast<double>(Queued);
  double Slots =
      static_cast<double>(Usable) * std::max(PartByWeight, PartOfQueue);
  Slots = std::max(Slots, static_cast<double>(std::min(Share.m_held, Usable)));
  Slots = std::min(Slots, static_cast<double>(Share.m_limit));
  if (Slots <= 0)
    return m_leaseable && C.m_declared.m_limit > 0 ? m_options.m_leaseWait
                                                   : absl::InfiniteDuration();
  const EntryList &Queue = C.m_queues[IsLong ? LongQueue : ShortQueue];
  double Ahead = static_cast<double>(Queue.size()) + 1;
  if (IsLong)
    Ahead += static_cast<double>(C.m_queues[PausedQueue].size());
  return m_service[indexOf(Class)] * (Ahead / Slots);
}

Instant AdmissionController::nextExpiry() const {
  Instant Next = absl::InfiniteFuture();
  for (const auto &[Id, C] : m_customers)
    for (QueueKind Kind : {ShortQueue, LongQueue})
      if (!C.m_queues[Kind].empty())
        Next = std::min(Next, latestStart(C.m_queues[Kind].front()));
  return Next;
}

std::int64_t AdmissionController::runningOf(const CustomerId &Id) const {
  auto Found = m_customers.find(Id);
  return Found == m_customers.end() ? 0 : Found->second.m_running;
}

std::int64_t AdmissionController::queuedOf(const CustomerId &Id) const {
  auto Found = m_customers.find(Id);
  return Found == m_customers.end() ? 0 : Found->second.queued();
}

bool AdmissionController::canStart(const CustomerState &C,
                                   RequestClass Class) const {
  if (m_running >= m_slots)
    return false;
  if (Class == RequestClass::Long && m_runningLong >= longRoom())
    return false;
  // The paused requests of a removed customer may still finish.
  if (C.m_removed)
    return true;
  if (C.m_running >= C.share().m_limit)
    return false;
  return C.isUnderHeld() || m_slots - m_running > heldReserve();
}

std::int64_t AdmissionController::longRoom() const {
  auto Room = static_cast<std::int64_t>(static_cast<double>(m_slots) *
                                        m_options.m_longShare);
  return std::max<std::int64_t>(1, Room);
}

std::int64_t AdmissionController::heldReserve() const {
  if (m_options.m_heldReserve <= 0)
    return 0;
  std::int64_t Unused = 0;
  for (const auto &[Id, C] : m_customers)
    Unused += std::max<std::int64_t>(0, C.share().m_held - C.m_running);
  // At least one slot can be borrowed, or a pool whose capacity is all held
  // but idle would serve nobody.
  Unused = std::min(Unused, m_slots - 1);
  return static_cast<std::int64_t>(
      std::ceil(m_options.m_heldReserve * static_cast<double>(Unused)));
}

AdmissionController::Priority
AdmissionController::priority(Instant Now, const CustomerState &C,
                              QueueKind Kind) const {
  const Entry &Head = C.m_queues[Kind].front();
  bool IsDuePause = Kind == PausedQueue && Now >= Head.m_deadline;
  Instant Since = std::max(Head.m_queuedAt, C.m_lastStart);
  auto Aged = static_cast<std::int64_t>(
      absl::FDivDuration(Now - Since, m_options.m_rankAgeing));
  auto Deadline = static_cast<std::int64_t>(std::floor(
      absl::FDivDuration(Head.m_deadline - Now, m_options.m_deadlineStep)));
  double Work =
      static_cast<double>(C.m_running + 1) / static_cast<double>(C.m_weight);
  return {!C.isUnderHeld(), !IsDuePause, C.m_rank - Aged, Deadline, Work};
}

void AdmissionController::dispatch(Instant Now) {
  while (m_running < m_slots) {
    EntryList *Best = nullptr;
    Priority BestPriority;
    for (auto &[Id, C] : m_customers)
      for (QueueKind Kind : {ShortQueue, LongQueue, PausedQueue}) {
        EntryList &Queue = C.m_queues[Kind];
        if (Queue.empty() || !canStart(C, Queue.front().m_class))
          continue;
        Priority Mine = priority(Now, C, Kind);
        if (Best && Mine >= BestPriority)
          continue;
        Best = &Queue;
        BestPriority = Mine;
      }
    if (!Best)
      return;
    AdmissionDecision Decision;
    Decision.m_id = Best->front().m_id;
    Decision.m_outcome = AdmissionOutcome::Admitted;
    start(Now, Best->begin());
    m_decisions.push_back(std::move(Decision));
  }
}

void AdmissionController::start(Instant Now, EntryList::iterator Item) {
  Entry Started = dequeue(Item);
  CustomerState &C = m_customers.at(Started.m_customer);
  C.m_lastStart = Now;
  countRunning(C, Started.m_class, 1);
  Started.m_isRunning = true;
  Started.m_startedAt = Now;
  m_runningEntries.push_back(std::move(Started));
  EntryList::iterator Place = std::prev(m_runningEntries.end());
  m_entries[Place->m_id] = Place;
}

AdmissionController::EntryList::iterator
AdmissionController::enqueue(Entry Item, QueueKind Kind) {
  CustomerState &C = m_customers.at(Item.m_customer);
  EntryList &Queue = C.m_queues[Kind];
  auto Place = Queue.end();
  while (Place != Queue.begin() &&
         std::prev(Place)->m_deadline > Item.m_deadline)
    --Place;
  Item.m_queue = Kind;
  ++m_queued;
  m_queuedBytes += Item.m_bytes;
  C.m_queuedBytes += Item.m_bytes;
  EntryList::iterator Queued = Queue.insert(Place, std::move(Item));
  m_entries[Queued->m_id] = Queued;
  return Queued;
}

AdmissionController::Entry
AdmissionController::dequeue(EntryList::iterator Item) {
  CustomerState &C = m_customers.at(Item->m_customer);
  --m_queued;
  m_queuedBytes -= Item->m_bytes;
  C.m_queuedBytes -= Item->m_bytes;
  m_entries.erase(Item->m_id);
  Entry Taken = std::move(*Item);
  C.m_queues[Taken.m_queue].erase(Item);
  return Taken;
}

void AdmissionController::countRunning(CustomerState &C, RequestClass Class,
                                       int By) {
  C.m_running += By;
  m_running += By;
  if (Class == RequestClass::Long)
    m_runningLong += By;
  assert(C.m_running >= 0 && m_runningLong >= 0 && "a slot was freed twice");
}

void AdmissionController::expire(Instant Now) {
  for (auto &[Id, C] : m_customers)
    for (QueueKind Kind : {ShortQueue, LongQueue}) {
      EntryList &Queue = C.m_queues[Kind];
      while (!Queue.empty() && latestStart(Queue.front()) < Now)
        refuse(Queue.begin(), RefusalReason::Expired);
    }
}

void AdmissionController::refuse(EntryList::iterator Item,
                                 RefusalReason Reason) {
  absl::Duration Wait = predictWait(Item->m_customer, Item->m_class);
  Entry Refused = dequeue(Item);
  m_decisions.push_back({std::move(Refused.m_id), AdmissionOutcome::Refused,
                         Reason, retryAfter(Wait)});
}

void AdmissionController::dropIfUnused(const CustomerId &Id) {
  auto Found = m_customers.find(Id);
  const CustomerState &C = Found->second;
  if (C.m_removed && C.m_running == 0 && C.queued() == 0)
    m_customers.erase(Found);
}

void AdmissionController::learnService(Instant Now, const Entry &Item) {
  learn(m_service[indexOf(Item.m_class)],
        Now - Item.m_startedAt + Item.m_ranBefore);
}

bool AdmissionController::hasQueueRoom(const CustomerState &C,
                                       std::int64_t Bytes) const {
  return m_queued < m_options.m_maxQueued &&
         C.queued() < m_options.m_maxQueuedPerCustomer &&
         m_queuedBytes + Bytes <= m_options.m_maxQueuedBytes;
}

absl::Duration AdmissionController::firstTokenTime(RequestClass Class) const {
  // The mean alone lets half of the requests in that start at the last moment
  // and get their first token too late.
  std::size_t Index = indexOf(Class);
  return m_firstToken[Index] + m_firstTokenDeviation[Index];
}

Instant AdmissionController::latestStart(const Entry &Item) const {
  // Half of the deadline at most, so that an outlier in the measured time does
  // not refuse everything that would measure it again.
  absl::Duration Within = Item.m_deadline - Item.m_queuedAt;
  return Item.m_deadline - std::min(firstTokenTime(Item.m_class), Within / 2);
}

absl::Duration AdmissionController::retryAfter(absl::Duration Wait) const {
  return std::clamp(Wait, LeastRetryAfter, MostRetryAfter);
}

Instant AdmissionController::shortStart(const CustomerState &C) const {
  const EntryList &Queue = C.m_queues[ShortQueue];
  return Queue.empty() ? absl::InfiniteFuture() : latestStart(Queue.front());
}

Instant AdmissionController::urgentShortStart() const {
  Instant Urgent = absl::InfiniteFuture();
  for (const auto &[Id, C] : m_customers)
    if (C.m_running < C.share().m_limit)
      Urgent = std::min(Urgent, shortStart(C));
  return Urgent;
}

} // namespace turmericdyke
