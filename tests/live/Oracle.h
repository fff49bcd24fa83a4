#pragma once

#include <string>
#include <vector>

#include "LiveLoad.h"

/// Compares the records of callers, operators and the observer with those of
/// the targets. Returns one line for each contradiction. `Load` must be
/// stopped.
std::vector<std::string> contradictions(const LiveCluster &Cluster,
                                        const LiveLoad &Load);

/// Stops the load, waits until all running nodes show the same newest revision,
/// and fails the test for each contradiction. Guards against crossed and cut
/// answers, false `not_run` outcomes, repeated once-only calls, lost or
/// reverted changes, hosts in two replicas, and replicas that serve without all
/// of their members.
void concludeScenario(LiveCluster &Cluster, LiveLoad &Load);
