#pragma once

#include <string>
#include <vector>

#include "LiveLoad.h"

/// Compares the records of callers, operators and polled nodes with those of
/// the targets. Returns one line for each contradiction. `Load` must be
/// stopped.
std::vector<std::string> findContradictions(const LiveCluster &Cluster,
                                            const LiveLoad &Load);

/// Stops the load, waits until all running nodes report the same newest
/// revision, and fails the test for each contradiction. Guards against
/// truncated answers, answers to other requests, wrong `not_run` outcomes,
/// once-only calls that run twice, lost or reverted changes, targets in two
/// replicas, and replicas that serve without all of their members.
void checkScenario(LiveCluster &Cluster, LiveLoad &Load);
