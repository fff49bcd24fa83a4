#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Groups/LoadPacer.h"
#include "turmericdyke/src/Groups/ModelBalance.h"

namespace turmericdyke {

class ServerDirectory;
enum class OrderAnswer;
struct EngineModel;
struct ServerRecord;
struct ServiceEntry;

struct WeightStagerOptions {
  /// A fetch that has not ended after this multiple of its load time is told
  /// again: with twice as many fetches as the store serves at full speed, each
  /// takes twice as long.
  double m_patienceLoadTimes = 2;
  /// An order that was not answered, or that met a busy server, is sent again
  /// after this time.
  absl::Duration m_resendAfter = absl::Milliseconds(1500);
  /// Concurrent fetches of the store that stay free for idle servers: servers
  /// that join a fleet come one every second or two.
  std::int64_t m_keptForIdle = 3;
};

/// What the stager decides from.
struct StagingInput {
  const ServiceEntry *m_service = nullptr;
  const ServerDirectory *m_servers = nullptr;
  /// Servers in no group, by fabric domain.
  std::map<FabricDomainId, std::vector<const ServerRecord *>> m_idle;
  /// Members of the groups that serve, those of the largest groups first.
  std::vector<const ServerRecord *> m_serving;
  /// Servers of each model, without the idle ones.
  ModelBalance m_balance;
  /// Fetches are cheap and not limited until the first request.
  bool m_trafficSeen = false;
};

/// A fetch of weights to the host of a server.
struct StagingOrder {
  const ServerRecord *m_server = nullptr;
  const EngineModel *m_model = nullptr;
};

/// Decides which hosts fetch weights from the rate-limited store. Idle servers
/// come first, so that the next group is formed out of servers that hold its
/// model already: a member that loads holds up all the others. What is left of
/// the store goes to a second copy on the hosts of serving groups, whose
/// members can then join a group of either model at once when their own group
/// breaks.
class WeightStager {
public:
  explicit WeightStager(WeightStagerOptions Options = {});

  std::vector<StagingOrder> choose(Instant Now, const StagingInput &Input);
  void answered(Instant Now, const TargetId &Target, OrderAnswer Answer);

private:
  struct Fetch {
    std::int64_t m_bornMillis = 0;
    std::string m_model;
    /// Told again after this time if it has not ended.
    Instant m_until;
  };

  void forgetEnded(Instant Now, const StagingInput &Input);
  bool fetches(const ServerRecord &Server) const;
  bool willHold(const ServerRecord &Server, const EngineModel &Model) const;
  bool mayBegin(Instant Now, const StagingInput &Input, std::int64_t Kept);
  void begin(Instant Now, const ServerRecord &Server, const EngineModel &Model);
  /// Makes the idle servers of one fabric domain fit for groups. Returns
  /// whether the store has room left.
  bool stageIdle(Instant Now, const StagingInput &Input, ModelBalance &Balance,
                 std::vector<const ServerRecord *> Idle);
  void stageSecondModels(Instant Now, const StagingInput &Input);

  WeightStagerOptions m_options;
  LoadPacer m_pacer;
  std::map<TargetId, Fetch> m_fetches;
  std::vector<StagingOrder> m_orders;
};

} // namespace turmericdyke
