#include "turmericdyke/src/Groups/ModelDemand.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Catalog/EngineTime.h"
#include "turmericdyke/src/Fleet/ModelArrivals.h"

namespace turmericdyke {

namespace internal {
namespace {

/// How fast evidence fades while the shares in force fit.
constexpr double FittingExcess = -0.4;

using Shares = std::map<std::string, double>;

/// A leader that was paused does not take the pause for lasting evidence.
constexpr double MaxStepSeconds = 0.5;

Shares declaredShares(const EngineCosts &Engine) {
  Shares Declared;
  for (const EngineModel &Model : Engine.m_models)
    Declared[Model.m_name] = Model.m_share;
  return Declared;
}

/// Scales the shares so that they add up to 1 and that each model gets at least
/// the servers of one group.
void normalizeShares(const EngineCosts &Engine, std::size_t Servers,
                     Shares &Values) {
  double Sum = 0;
  for (const auto &[Model, Share] : Values)
    Sum += std::max(0.0, Share);
  double Raised = 0;
  for (const EngineModel &Model : Engine.m_models) {
    double &Share = Values[Model.m_name];
    double Least = static_cast<double>(Model.m_members) /
                   static_cast<double>(std::max<std::size_t>(1, Servers));
    Share = std::max(Sum > 0 ? Share / Sum : 0, Least);
    Raised += Share;
  }
  for (auto &[Model, Share] : Values)
    Share /= Raised;
}

/// Ratio of the largest to the smallest quotient of two lists of shares.
double largestSpread(const Shares &A, const Shares &B) {
  double Least = INFINITY;
  double Most = 0;
  for (const auto &[Model, Share] : A) {
    double Ratio = Share / B.at(Model);
    Least = std::min(Least, Ratio);
    Most = std::max(Most, Ratio);
  }
  return Most / Least;
}

} // namespace
} // namespace internal

/// How far the measured shares are from those in force.
struct ModelDemand::Spread {
  double m_ratio = 1;
  /// Standard deviation of the logarithm of the ratio, by the number of
  /// requests counted.
  double m_deviation = 0;
  /// Both models differ by the servers of at least one of their groups.
  bool m_worthGroup = false;
};

ModelDemand::ModelDemand(ModelDemandOptions Options) : m_options(Options) {}

void ModelDemand::begin(Instant Now) {
  *this = ModelDemand(m_options);
  m_began = Now;
}

void ModelDemand::advance(Instant Now) {
  if (m_advanced != absl::InfinitePast() && Now > m_advanced) {
    double Factor =
        std::exp(-absl::FDivDuration(Now - m_advanced, m_options.m_smoothing));
    for (auto &[Service, Models] : m_sums)
      for (auto &[Model, Sum] : Models) {
        Sum.m_requests *= Factor;
        Sum.m_promptTokens *= Factor;
        Sum.m_outputTokens *= Factor;
      }
    m_allRequests *= Factor;
    m_listedRequests *= Factor;
  }
  m_advanced = std::max(m_advanced, Now);
}

double ModelDemand::observedSeconds() const {
  if (m_firstArrival == absl::InfiniteFuture())
    return 0;
  double Smoothing = absl::ToDoubleSeconds(m_options.m_smoothing);
  double Elapsed = absl::ToDoubleSeconds(m_advanced - m_firstArrival);
  return Smoothing * -std::expm1(-Elapsed / Smoothing);
}

void ModelDemand::record(Instant Now, absl::Span<const ModelArrivals> Arrivals,
                         std::int64_t Requests) {
  advance(Now);
  double Listed = 0;
  for (const ModelArrivals &Value : Arrivals) {
    auto Count = [](std::int64_t Number) {
      return static_cast<double>(std::max<std::int64_t>(0, Number));
    };
    Listed += Count(Value.m_requests);
    Sums &Sum = m_sums[Value.m_service][Value.m_model];
    Sum.m_requests += Count(Value.m_requests);
    Sum.m_promptTokens += Count(Value.m_promptTokens);
    Sum.m_outputTokens += Count(Value.m_outputTokens);
  }
  m_listedRequests += Listed;
  m_allRequests += std::max(Listed, static_cast<double>(Requests));
  if (m_firstArrival == absl::InfiniteFuture() && Listed > 0)
    m_firstArrival = Now;
}

void ModelDemand::step(Instant Now, const Catalog &Routes,
                       const std::map<ServiceId, std::size_t> &Servers) {
  advance(Now);
  double Seconds = m_stepped == absl::InfinitePast()
                       ? 0
                       : absl::ToDoubleSeconds(Now - m_stepped);
  m_stepped = Now;
  auto Unknown = [&Routes](const auto &Entry) {
    const ServiceEntry *Service = Routes.service(Entry.first);
    return Service == nullptr || !Service->m_engine;
  };
  std::erase_if(m_sums, Unknown);
  std::erase_if(m_decisions, Unknown);
  for (const ServiceEntry &Service : Routes.m_services) {
    if (!Service.m_engine)
      continue;
    auto Found = Servers.find(Service.m_id);
    stepService(Now, Service, Found == Servers.end() ? 0 : Found->second,
                std::min(Seconds, internal::MaxStepSeconds));
  }
}

void ModelDemand::stepService(Instant Now, const ServiceEntry &Service,
                              std::size_t Servers, double Seconds) {
  Decision &State = m_decisions[Service.m_id];
  internal::Shares Declared = internal::declaredShares(*Service.m_engine);
  if (State.m_declared != Declared) {
    State = Decision();
    State.m_declared = std::move(Declared);
  }
  measure(Service, Servers, State);
  bool Measured = !State.m_needs.empty();
  if (Measured) {
    Spread Current = spread(Service, Servers, State);
    double Excess = std::log(Current.m_ratio / m_options.m_minSpread);
    bool Differs = Excess > 0 && Current.m_worthGroup;
    if (Differs)
      Excess -= Current.m_deviation * m_options.m_deviations;
    else
      Excess = std::min(Excess, internal::FittingExcess);
    State.m_evidence = std::clamp(State.m_evidence + Seconds * Excess, 0.0,
                                  m_options.m_laterEvidence);
    if (Differs)
      State.m_fitsSince = absl::InfiniteFuture();
    else
      State.m_fitsSince = std::min(State.m_fitsSince, Now);
    if (State.m_evidence >= requiredEvidence(Now) &&
        Now - State.m_lastChange >= changeInterval(Service))
      changeShares(Now, Service, Servers, Current.m_ratio, State);
  } else {
    State.m_evidence = 0;
    State.m_fitsSince = absl::InfiniteFuture();
  }
  State.m_held = m_successor && State.m_shares.empty() &&
                 Now - m_began < m_options.m_maxHold &&
                 (State.m_fitsSince == absl::InfiniteFuture() ||
                  Now - State.m_fitsSince < m_options.m_fitsAfter);
}

double ModelDemand::requiredEvidence(Instant Now) const {
  return Now - m_firstArrival < m_options.m_firstTraffic
             ? m_options.m_firstEvidence
             : m_options.m_laterEvidence;
}

absl::Duration ModelDemand::changeInterval(const ServiceEntry &Service) const {
  absl::Duration Interval = m_options.m_minInterval;
  for (const EngineModel &Model : Service.m_engine->m_models)
    Interval = std::max(Interval, Model.m_loadTime);
  return Interval;
}

void ModelDemand::measure(const ServiceEntry &Service, std::size_t Servers,
                          Decision &State) const {
  State.m_needs.clear();
  const EngineCosts &Engine = *Service.m_engine;
  double Observed = observedSeconds();
  auto Found = m_sums.find(Service.m_id);
  if (Found == m_sums.end() || Servers == 0 ||
      m_advanced - m_firstArrival < m_options.m_minObserved ||
      m_listedRequests < m_allRequests * m_options.m_minCoverage)
    return;
  double Requests = 0;
  for (const EngineModel &Model : Engine.m_models) {
    auto Sum = Found->second.find(Model.m_name);
    Requests += Sum == Found->second.end() ? 0 : Sum->second.m_requests;
  }
  if (Requests < m_options.m_minRequests)
    return;
  // The nodes that do not list their requests have the same callers.
  double PerSecond = m_allRequests / m_listedRequests / Observed;
  internal::Shares Measured;
  for (const EngineModel &Model : Engine.m_models) {
    auto Sum = Found->second.find(Model.m_name);
    Sums Counted = Sum == Found->second.end() ? Sums() : Sum->second;
    ModelNeed Need;
    Need.m_model = Model.m_name;
    Need.m_requestsPerSecond = Counted.m_requests * PerSecond;
    Need.m_promptTokensPerSecond = Counted.m_promptTokens * PerSecond;
    Need.m_outputTokensPerSecond = Counted.m_outputTokens * PerSecond;
    double Count = std::max(Counted.m_requests, 1e-6);
    Need.m_servers = Need.m_requestsPerSecond *
                     absl::ToDoubleSeconds(replicaTimePerRequest(
                         Engine, Model, Counted.m_promptTokens / Count,
                         Counted.m_outputTokens / Count)) *
                     static_cast<double>(Model.m_members);
    Measured[Model.m_name] = Need.m_servers;
    State.m_needs.push_back(std::move(Need));
  }
  internal::Shares InForce =
      State.m_shares.empty() ? State.m_declared : State.m_shares;
  internal::normalizeShares(Engine, Servers, Measured);
  internal::normalizeShares(Engine, Servers, InForce);
  for (ModelNeed &Need : State.m_needs) {
    Need.m_share = Measured[Need.m_model];
    Need.m_shareInForce = InForce[Need.m_model];
  }
}

ModelDemand::Spread ModelDemand::spread(const ServiceEntry &Service,
                                        std::size_t Servers,
                                        const Decision &State) const {
  auto Ratio = [](const ModelNeed &Need) {
    return Need.m_share / Need.m_shareInForce;
  };
  auto [Low, High] =
      std::minmax_element(State.m_needs.begin(), State.m_needs.end(),
                          [&](const ModelNeed &A, const ModelNeed &B) {
                            return Ratio(A) < Ratio(B);
                          });
  auto WorthGroup = [&](const ModelNeed &Need) {
    double Difference = std::abs(Need.m_share - Need.m_shareInForce) *
                        static_cast<double>(Servers);
    return Difference >= static_cast<double>(
                             Service.m_engine->model(Need.m_model)->m_members);
  };
  double Needed = 0;
  for (const ModelNeed &Need : State.m_needs)
    Needed += Need.m_servers;
  double Observed = observedSeconds();
  auto Variance = [&](const ModelNeed &Need) {
    return 1 / (1 + Need.m_requestsPerSecond * Observed);
  };
  Spread Found;
  Found.m_ratio = Ratio(*High) / Ratio(*Low);
  Found.m_deviation = std::sqrt(Variance(*Low) + Variance(*High));
  Found.m_worthGroup =
      WorthGroup(*Low) && WorthGroup(*High) &&
      Needed >= static_cast<double>(Servers) * m_options.m_minUse;
  return Found;
}

void ModelDemand::changeShares(Instant Now, const ServiceEntry &Service,
                               std::size_t Servers, double Spread,
                               Decision &State) {
  internal::Shares Measured;
  for (const ModelNeed &Need : State.m_needs)
    Measured[Need.m_model] = Need.m_share;
  internal::Shares Declared = State.m_declared;
  internal::normalizeShares(*Service.m_engine, Servers, Declared);
  ShareChange Change;
  Change.m_service = Service.m_id;
  Change.m_spread = Spread;
  Change.m_models = State.m_needs;
  Change.m_declared =
      internal::largestSpread(Measured, Declared) < m_options.m_sameSpread;
  if (Change.m_declared)
    State.m_shares.clear();
  else
    State.m_shares = std::move(Measured);
  State.m_evidence = 0;
  State.m_lastChange = Now;
  State.m_fitsSince = Now;
  m_changes.push_back(std::move(Change));
}

std::vector<ShareChange> ModelDemand::takeChanges() {
  return std::exchange(m_changes, {});
}

ModelBalance ModelDemand::balance(const ServiceEntry &Service) const {
  auto Found = m_decisions.find(Service.m_id);
  if (Found == m_decisions.end() || Found->second.m_shares.empty())
    return ModelBalance(*Service.m_engine);
  return {*Service.m_engine, Found->second.m_shares};
}

ModelBalance ModelDemand::measuredBalance(const ServiceEntry &Service) const {
  internal::Shares Measured;
  for (const ModelNeed &Need : needs(Service.m_id))
    Measured[Need.m_model] = Need.m_share;
  return Measured.empty() ? balance(Service)
                          : ModelBalance(*Service.m_engine, Measured);
}

bool ModelDemand::isAdjusted(const ServiceId &Service) const {
  auto Found = m_decisions.find(Service);
  return Found != m_decisions.end() && !Found->second.m_shares.empty();
}

Instant ModelDemand::lastChange(const ServiceId &Service) const {
  auto Found = m_decisions.find(Service);
  return Found == m_decisions.end() ? absl::InfinitePast()
                                    : Found->second.m_lastChange;
}

bool ModelDemand::holdsGroups(const ServiceId &Service) const {
  auto Found = m_decisions.find(Service);
  return Found == m_decisions.end() ? m_successor : Found->second.m_held;
}

absl::Span<const ModelNeed> ModelDemand::needs(const ServiceId &Service) const {
  auto Found = m_decisions.find(Service);
  if (Found == m_decisions.end())
    return {};
  return Found->second.m_needs;
}

} // namespace turmericdyke
