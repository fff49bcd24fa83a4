#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Consensus/RaftMessage.h"
#include "turmericdyke/src/Peer/PeerError.h"

namespace turmericdyke {

/// CBOR of a message of the replicated log.
std::string encode(const RaftMessage &Message);

/// Reads a message. Unknown fields are ignored; wrong types, unknown kinds and
/// entries without index or term are errors.
Result<RaftMessage, PeerError> decodeRaftMessage(std::string_view Bytes);

/// JSON of a voter set, as in messages and status pages.
nlohmann::json toJson(const VoterSet &Voters);
Result<VoterSet, PeerError> parseVoterSet(const nlohmann::json &Value);

} // namespace turmericdyke
