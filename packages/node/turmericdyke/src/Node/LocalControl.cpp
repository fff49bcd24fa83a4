#include "turmericdyke/src/Node/LocalControl.h"

#include <algorithm>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/Declaration"
#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration StepInterval = absl::Milliseconds(50);
constexpr absl::Duration TargetFreshness = absl::Milliseconds(2500);
constexpr absl::Duration ViewLease = absl::Seconds(3);
constexpr std::int64_t OrderExpiryMs = 5000;

void sendOrder(const std::string &Address, const Order &Sent) {
  httplib::Client Client("http://" + Address);
  Client.set_connection_timeout(std::chrono::milliseconds(300));
  Client.set_read_timeout(std::chrono::milliseconds(500));
  httplib::Result Answer =
      Client.Post("/v1/orders", toJson(Sent).dump(), "application/json");
  LogLine(LogLevel::Info, "order_sent")
      .field("order", Sent.m_id)
      .field("target", Sent.m_target)
      .field("replica", Sent.m_membership.m_replica)
      .field("status", Answer ? Answer->status : 0);
}

} // namespace
} // namespace internal

LocalControl::LocalControl(EdgeServices &Services)
    : m_services(Services), m_thread([this] { run(); }) {}

LocalControl::~LocalControl() {
  {
    absl::MutexLock Lock(&m_lock);
    m_stopped = true;
  }
  m_thread.join();
}

void LocalControl::run() {
  for (;;) {
    for (const auto &[Address, Sent] : step(monotonicNow()))
      internal::sendOrder(Address, Sent);
    absl::MutexLock Lock(&m_lock);
    if (m_lock.AwaitWithTimeout(absl::Condition(&m_stopped),
                                internal::StepInterval))
      return;
  }
}

bool LocalControl::fresh(const TargetId &Target, Instant Now) const {
  auto Found = m_targets.find(Target);
  return Found != m_targets.end() &&
         Now - Found->second.m_heard < internal::TargetFreshness;
}

bool LocalControl::assigned(const TargetId &Target) const {
  for (const Assignment &Existing : m_assignments)
    for (const AssignedMember &Member : Existing.m_members)
      if (Member.m_target == Target)
        return true;
  return false;
}

bool LocalControl::serves(const Assignment &Candidate, Instant Now) const {
  return std::all_of(
      Candidate.m_members.begin(), Candidate.m_members.end(),
      [&](const AssignedMember &Member) {
        if (!fresh(Member.m_target, Now))
          return false;
        const TargetAnnouncement &Shown =
            m_targets.at(Member.m_target).m_announcement;
        return Shown.m_incarnation == Member.m_incarnation &&
               Shown.m_state == TargetState::Ready &&
               Shown.m_spec == Candidate.m_spec &&
               Shown.m_membership.m_replica == Candidate.m_replica &&
               Shown.m_membership.m_generation == Candidate.m_generation;
      });
}

void LocalControl::form(Instant Now) {
  std::erase_if(m_assignments, [&](const Assignment &Existing) {
    return std::any_of(Existing.m_members.begin(), Existing.m_members.end(),
                       [&](const AssignedMember &Member) {
                         return !fresh(Member.m_target, Now);
                       });
  });
  std::map<std::string, std::pair<ResolvedModel, std::int64_t>> Needed;
  for (const auto &[Id, Owner] : m_declaration->m_customers) {
    auto &Pool = Needed[poolName(Owner.m_resolved)];
    Pool.first = Owner.m_resolved;
    Pool.second += Owner.m_capacity;
  }
  for (const auto &[Name, Pool] : Needed) {
    const ResolvedModel &Model = Pool.first;
    std::int64_t Replicas =
        (Pool.second + Model.m_slotsPerReplica - 1) / Model.m_slotsPerReplica;
    for (const Assignment &Existing : m_assignments)
      Replicas -= Existing.m_pool == Name ? 1 : 0;
    std::map<FabricDomainId, std::vector<TargetId>> Free;
    for (const auto &[Id, Known] : m_targets) {
      const TargetAnnouncement &Shown = Known.m_announcement;
      if (fresh(Id, Now) && !assigned(Id) &&
          Shown.m_kind == TargetKind::Model &&
          Shown.m_state != TargetState::Leaving)
        Free[Shown.m_fabricDomain].push_back(Id);
    }
    for (auto &[Fabric, Ids] : Free)
      while (Replicas > 0 &&
             Ids.size() >= static_cast<std::size_t>(Model.m_hostsPerReplica)) {
        Assignment Made;
        Made.m_generation = m_nextFence++;
        Made.m_replica =
            ReplicaId(fmt::format("replica-{}", Made.m_generation));
        Made.m_pool = Name;
        Made.m_spec = {Model.m_model, Model.m_adapters, Model.m_version};
        Made.m_fabricDomain = Fabric;
        for (std::int64_t Rank = 0; Rank < Model.m_hostsPerReplica; ++Rank) {
          const TargetAnnouncement &Shown =
              m_targets.at(Ids.back()).m_announcement;
          Made.m_members.push_back(
              {Ids.back(), Shown.m_host, Shown.m_incarnation});
          Ids.pop_back();
        }
        m_assignments.push_back(std::move(Made));
        --Replicas;
      }
  }
}

std::vector<std::pair<std::string, Order>> LocalControl::step(Instant Now) {
  absl::MutexLock Lock(&m_lock);
  form(Now);
  publish(Now);
  std::vector<std::pair<std::string, Order>> Orders;
  for (const Assignment &Existing : m_assignments)
    for (std::size_t Rank = 0; Rank < Existing.m_members.size(); ++Rank) {
      const AssignedMember &Member = Existing.m_members[Rank];
      const TargetAnnouncement &Shown =
          m_targets.at(Member.m_target).m_announcement;
      if (Shown.m_membership.m_generation == Existing.m_generation)
        continue;
      Order Join;
      Join.m_fence = m_nextFence++;
      Join.m_id = fmt::format("order-{}", Join.m_fence);
      Join.m_target = Member.m_target;
      Join.m_incarnation = Member.m_incarnation;
      Join.m_spec = Existing.m_spec;
      Join.m_membership = {Existing.m_replica, Existing.m_generation,
                           static_cast<std::int64_t>(Rank)};
      Join.m_replicaSize = static_cast<std::int64_t>(Existing.m_members.size());
      Join.m_expiresInMs = internal::OrderExpiryMs;
      Orders.emplace_back(Shown.m_address, std::move(Join));
    }
  return Orders;
}

void LocalControl::publish(Instant Now) {
  auto View = std::make_shared<ClusterView>();
  View->m_revision = m_revision;
  View->m_declaration = m_declaration;
  View->m_leaseUntil = Now + internal::ViewLease;
  for (const Assignment &Existing : m_assignments) {
    if (!serves(Existing, Now))
      continue;
    const KnownTarget &Head = m_targets.at(Existing.m_members[0].m_target);
    ServingReplica Serving;
    Serving.m_replica = Existing.m_replica;
    Serving.m_generation = Existing.m_generation;
    Serving.m_headAddress = Head.m_announcement.m_address;
    Serving.m_head = Head.m_announcement.m_target;
    Serving.m_load = Head.m_announcement.m_load;
    Serving.m_loadTime = Head.m_heard;
    View->m_pools[Existing.m_pool].push_back(std::move(Serving));
  }
  for (const auto &[Id, Known] : m_targets)
    if (Known.m_announcement.m_kind == TargetKind::Service && fresh(Id, Now))
      View->m_services[Known.m_announcement.m_service].push_back(
          {Id, Known.m_announcement.m_incarnation,
           Known.m_announcement.m_address});
  m_services.m_views.set(std::move(View));
}

OperatorReply LocalControl::declaration(std::optional<std::uint64_t>) {
  absl::MutexLock Lock(&m_lock);
  internal::Json Body = {
      {"revision", m_revision},
      {"declaration", internal::Json::parse(declarationJson(*m_declaration))}};
  return {200, Body.dump()};
}

OperatorReply LocalControl::applyDeclaration(std::string_view Text) {
  internal::Json Body =
      internal::Json::parse(Text.begin(), Text.end(), nullptr, false);
  if (!Body.is_object() || !Body.contains("declaration"))
    return {400, R"({"result":"invalid"})"};
  Result<Declaration, DeclarationError> Parsed =
      parseDeclarationJson(Body["declaration"].dump());
  if (!Parsed)
    return {422, internal::Json{{"result", "invalid"},
                                {"error",
                                 {{"field", Parsed.error().m_field},
                                  {"found", Parsed.error().m_found},
                                  {"allowed", Parsed.error().m_allowed}}}}
                     .dump()};
  absl::MutexLock Lock(&m_lock);
  m_declaration = std::make_shared<Declaration>(std::move(Parsed).value());
  ++m_revision;
  return {
      200,
      internal::Json{{"result", "accepted"}, {"revision", m_revision}}.dump()};
}

OperatorReply LocalControl::history() { return {200, R"({"entries":[]})"}; }

OperatorReply LocalControl::status() {
  absl::MutexLock Lock(&m_lock);
  internal::Json Replicas = internal::Json::array();
  for (const Assignment &Existing : m_assignments)
    Replicas.push_back({{"replica", Existing.m_replica.str()},
                        {"pool", Existing.m_pool},
                        {"generation", Existing.m_generation},
                        {"serving", serves(Existing, monotonicNow())}});
  return {
      200,
      internal::Json{{"revision", m_revision}, {"replicas", Replicas}}.dump()};
}

OperatorReply LocalControl::drain(std::string_view) {
  return {501, R"({"result":"unavailable"})"};
}

Result<void, FleetError>
LocalControl::announce(const TargetAnnouncement &Announcement) {
  absl::MutexLock Lock(&m_lock);
  m_targets[Announcement.m_target] = {Announcement, monotonicNow()};
  return success();
}

} // namespace turmericdyke
