#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Groups/LoadRateLimiter.h"
#include "turmericdyke/src/Groups/ModelBalance.h"

namespace turmericdyke {

class ServerDirectory;
enum class OrderResult;
struct EngineModel;
struct ServerRecord;
struct ServiceEntry;

struct WeightStagerOptions {
  /// A fetch that has not finished after its load time times this factor is
  /// ordered again. With twice as many fetches as the store serves at full
  /// speed, each takes twice as long.
  double m_fetchTimeoutLoadTimes = 2;
  /// An order that got no response, or that a busy server rejected, is sent
  /// again after this time.
  absl::Duration m_resendAfter = absl::Milliseconds(1500);
  /// Concurrent fetches reserved for idle servers. Servers join the fleet at a
  /// rate of one every second or two.
  std::int64_t m_fetchesReservedForIdle = 3;
};

/// Servers of which some must hold a model, so that groups of it can replace
/// others.
struct StagingDemand {
  const EngineModel *m_model = nullptr;
  std::vector<const ServerRecord *> m_candidates;
  std::size_t m_count = 0;
};

/// Input of one planning step.
struct StagingInput {
  const ServiceEntry *m_service = nullptr;
  const ServerDirectory *m_servers = nullptr;
  /// Servers in no group, by fabric domain.
  std::map<FabricDomainId, std::vector<const ServerRecord *>> m_idle;
  /// Members of serving groups, those of the largest groups first.
  std::vector<const ServerRecord *> m_serving;
  /// Servers of each model, not counting idle ones.
  ModelBalance m_balance;
  /// Requests have run. Before the first one, fetches are not limited.
  bool m_trafficSeen = false;
  /// Prepared moves. They come after idle servers and before second models,
  /// which wait while there are any.
  std::vector<StagingDemand> m_moves = {};
};

/// An order to fetch the weights of a model to the host of a server.
struct StagingOrder {
  const ServerRecord *m_server = nullptr;
  const EngineModel *m_model = nullptr;
};

/// Decides which hosts fetch weights from the rate-limited store. Idle servers
/// come first, so that the next group can be formed from servers that already
/// hold its model: one member that loads delays all the others. Remaining
/// capacity goes to the members of prepared moves, then to a second model on
/// the hosts of serving groups, whose members can then join a group of either
/// model at once when their own group is dissolved.
class WeightStager {
public:
  explicit WeightStager(WeightStagerOptions Options = {});

  std::vector<StagingOrder> planFetches(Instant Now, const StagingInput &Input);
  void onOrderResult(Instant Now, const TargetId &Target, OrderResult Result);
  /// Whether the server holds the weights or is fetching them.
  bool willHold(const ServerRecord &Server, const EngineModel &Model) const;

private:
  struct Fetch {
    std::int64_t m_startMillis = 0;
    std::string m_model;
    /// The fetch is ordered again after this time if it has not finished.
    Instant m_deadline;
  };

  void removeFinished(Instant Now, const StagingInput &Input);
  bool isFetching(const ServerRecord &Server) const;
  bool tryAcquireFetch(Instant Now, const StagingInput &Input,
                       std::int64_t Reserved);
  void startFetch(Instant Now, const ServerRecord &Server,
                  const EngineModel &Model);
  /// Prepares the idle servers of one fabric domain for groups. Returns whether
  /// the store has capacity left.
  bool stageIdle(Instant Now, const StagingInput &Input, ModelBalance &Balance,
                 std::vector<const ServerRecord *> Idle);
  /// Returns whether the store has capacity left.
  bool stageMove(Instant Now, const StagingInput &Input,
                 const StagingDemand &Move);
  void stageSecondModels(Instant Now, const StagingInput &Input);

  WeightStagerOptions m_options;
  LoadRateLimiter m_rateLimiter;
  std::map<TargetId, Fetch> m_fetches;
  std::vector<StagingOrder> m_orders;
};

} // namespace turmericdyke
