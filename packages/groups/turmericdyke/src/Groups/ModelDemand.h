#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Groups/ModelBalance.h"

namespace turmericdyke {

struct Catalog;
struct ModelArrivals;
struct ServiceEntry;

struct ModelDemandOptions {
  /// Rates are means over about this time. Bursts of a few seconds change them
  /// little.
  absl::Duration m_smoothing = absl::Seconds(10);
  /// Least time and requests before the rates of a service count as measured.
  absl::Duration m_minObserved = absl::Milliseconds(1500);
  double m_minRequests = 50;
  /// Least fraction of the requests that must be reported by model. Entry nodes
  /// and relays of earlier versions report only their number.
  double m_minCoverage = 0.5;
  /// A model must need this many times more servers per share than another.
  double m_minSpread = 1.4;
  /// Standard deviations of the spread that are taken off.
  double m_deviations = 1;
  /// The logarithm of the spread beyond `m_minSpread` is integrated over time;
  /// shares change at this value, in seconds: within the first seconds of
  /// traffic, when a day has just begun, and later.
  double m_firstEvidence = 0.3;
  double m_laterEvidence = 2.5;
  absl::Duration m_firstTraffic = absl::Seconds(8);
  /// Least time between two changes. The longest load of a service takes
  /// precedence.
  absl::Duration m_minInterval = absl::Seconds(15);
  /// The shares stay unless all models together need this fraction of the
  /// servers.
  double m_minUse = 0.1;
  /// Measured shares that differ less than this from the declared ones are
  /// replaced by them.
  double m_sameSpread = 1.25;
  /// A successor of a leader closes no groups for another model before it has
  /// measured, but waits no longer than this.
  absl::Duration m_maxHold = absl::Seconds(10);
  /// How long a successor must have measured that the declared shares fit.
  absl::Duration m_fitsAfter = absl::Seconds(3);
};

/// What one model of a service is measured to need.
struct ModelNeed {
  std::string m_model;
  double m_requestsPerSecond = 0;
  double m_promptTokensPerSecond = 0;
  double m_outputTokensPerSecond = 0;
  /// Servers that this load occupies fully; replicas are used best then.
  double m_servers = 0;
  /// Part of the service's need, at least that of one group.
  double m_share = 0;
  /// The share in force: as declared, or as measured earlier.
  double m_shareInForce = 0;
};

/// The shares of a service changed, for the log.
struct ShareChange {
  ServiceId m_service;
  /// The declared shares are in force again.
  bool m_declared = false;
  /// How many times more a model needed per share than another.
  double m_spread = 0;
  std::vector<ModelNeed> m_models;
};

/// Measures the demand for each model of a service from the arrivals that entry
/// nodes report, and decides when the declared shares give way to the measured
/// ones. The shares in force change in steps and stay between them, so that
/// groups are not moved to and fro with the noise of the load: a change needs a
/// clear difference that lasts (a cumulative sum), enough requests to tell it
/// from chance, and servers for at least one group.
class ModelDemand {
public:
  explicit ModelDemand(ModelDemandOptions Options = {});

  /// Starts a term of leadership without any measurement.
  void begin(Instant Now);
  /// Groups may exist that an earlier leader formed by the demand that it
  /// measured.
  void expectGroups() { m_successor = true; }
  /// Takes a report of arrivals; `Requests` of them are known to have come,
  /// whether listed or not.
  void record(Instant Now, absl::Span<const ModelArrivals> Arrivals,
              std::int64_t Requests);
  /// Updates the decisions. `Servers` are those in groups, by service.
  void step(Instant Now, const Catalog &Routes,
            const std::map<ServiceId, std::size_t> &Servers);
  std::vector<ShareChange> takeChanges();

  /// Counts no servers yet; uses the shares in force.
  ModelBalance balance(const ServiceEntry &Service) const;
  /// The same with the newest measurement.
  ModelBalance measuredBalance(const ServiceEntry &Service) const;
  /// Whether measured shares are in force.
  bool isAdjusted(const ServiceId &Service) const;
  /// When the shares in force last changed.
  Instant lastChange(const ServiceId &Service) const;
  /// Whether existing groups must stay because this leader has not measured
  /// yet.
  bool holdsGroups(const ServiceId &Service) const;
  /// Empty unless the service's demand is measured.
  absl::Span<const ModelNeed> needs(const ServiceId &Service) const;

private:
  struct Sums {
    double m_requests = 0;
    double m_promptTokens = 0;
    double m_outputTokens = 0;
  };
  struct Decision {
    /// As declared by the routing document that the shares are derived from.
    std::map<std::string, double> m_declared;
    /// Empty if the declared shares are in force.
    std::map<std::string, double> m_shares;
    std::vector<ModelNeed> m_needs;
    double m_evidence = 0;
    Instant m_lastChange = absl::InfinitePast();
    /// Since when the shares in force have fitted.
    Instant m_fitsSince = absl::InfiniteFuture();
    bool m_held = false;
  };
  struct Spread;

  void advance(Instant Now);
  double observedSeconds() const;
  void stepService(Instant Now, const ServiceEntry &Service,
                   std::size_t Servers, double Seconds);
  double requiredEvidence(Instant Now) const;
  absl::Duration changeInterval(const ServiceEntry &Service) const;
  void measure(const ServiceEntry &Service, std::size_t Servers,
               Decision &State) const;
  Spread spread(const ServiceEntry &Service, std::size_t Servers,
                const Decision &State) const;
  void changeShares(Instant Now, const ServiceEntry &Service,
                    std::size_t Servers, double Spread, Decision &State);

  ModelDemandOptions m_options;
  Instant m_began = absl::InfinitePast();
  bool m_successor = false;
  Instant m_advanced = absl::InfinitePast();
  Instant m_stepped = absl::InfinitePast();
  Instant m_firstArrival = absl::InfiniteFuture();
  /// Exponentially decayed sums of arrivals, and of all requests.
  std::map<ServiceId, std::map<std::string, Sums>> m_sums;
  double m_allRequests = 0;
  double m_listedRequests = 0;
  std::map<ServiceId, Decision> m_decisions;
  std::vector<ShareChange> m_changes;
};

} // namespace turmericdyke
