#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "turmericdyke/Feed"

namespace turmericdyke {

inline const Instant Start = absl::UnixEpoch() + absl::Hours(1);
inline const std::string Document = "routes";

/// The context of a leader.
inline FeedContext context(std::uint64_t Term = 1, bool Complete = true) {
  FeedContext Value;
  Value.m_term = Term;
  Value.m_leader = NodeId("leader");
  Value.m_leads = true;
  Value.m_complete = Complete;
  Value.m_routingVersion = 7;
  Value.m_routingDocument = &Document;
  return Value;
}

inline ServingTarget target(const std::string &Id,
                            std::uint64_t Generation = 1) {
  ServingTarget Value;
  Value.m_id = TargetId(Id);
  Value.m_service = ServiceId("llm");
  Value.m_address = "10.0.0.1:80";
  Value.m_generation = Generation;
  return Value;
}

inline FeedRequest dueRequest(FeedFollower &Follower, Instant Now) {
  std::vector<FeedFollower::OutgoingRequest> Due = Follower.tick(Now);
  REQUIRE_FALSE(Due.empty());
  return Due.front().m_request;
}

/// Sends the due request and delivers its response.
inline FeedChange ask(FeedFollower &Follower, Instant Now,
                      FeedPublisher &Publisher, const FeedContext &Context) {
  return Follower.receive(
      Now, Publisher.respond(Now, dueRequest(Follower, Now), Context));
}

} // namespace turmericdyke
