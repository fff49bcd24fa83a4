#include "turmericdyke/src/Consensus/RaftState.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

std::vector<Voter> difference(const VoterSet &From, const VoterSet &Without) {
  std::vector<Voter> Rest;
  std::set_difference(From.m_voters.begin(), From.m_voters.end(),
                      Without.m_voters.begin(), Without.m_voters.end(),
                      std::back_inserter(Rest));
  return Rest;
}

bool isValidVoter(const Voter &Candidate) {
  return !Candidate.m_node.empty() && !Candidate.m_identity.empty();
}

bool isSameNode(const Voter &A, const Voter &B) { return A.m_node == B.m_node; }

} // namespace
} // namespace internal

bool VoterSet::contains(const Voter &Candidate) const {
  return std::binary_search(m_voters.begin(), m_voters.end(), Candidate);
}

const Voter *VoterSet::find(const NodeId &Node) const {
  for (const Voter &Member : m_voters)
    if (Member.m_node == Node)
      return &Member;
  return nullptr;
}

PersistentState bootstrapState(std::string Identity, VoterSet Voters) {
  std::optional<VoterSet> Normalized = normalizedVoterSet(std::move(Voters));
  assert(Normalized && "the initial voter set must be valid");
  PersistentState State;
  State.m_identity = std::move(Identity);
  State.m_hardState.m_term = 1;
  State.m_entries.push_back(
      {1, 1, EntryKind::Voters, "", std::move(*Normalized)});
  return State;
}

VoterSet nextVoterSet(const VoterSet &Current, const VoterSet &Goal) {
  VoterSet Next = Current;
  std::vector<Voter> Added = internal::difference(Goal, Current);
  std::vector<Voter> Removed = internal::difference(Current, Goal);
  auto Replaced =
      std::find_if(Removed.begin(), Removed.end(), [&](const Voter &Old) {
        return Goal.find(Old.m_node) != nullptr;
      });
  bool Remove = Replaced != Removed.end() || Added.empty();
  if (!Remove) {
    Next.m_voters.push_back(Added.front());
    std::sort(Next.m_voters.begin(), Next.m_voters.end());
  } else if (!Removed.empty()) {
    std::erase(Next.m_voters,
               Replaced != Removed.end() ? *Replaced : Removed.front());
  }
  return Next;
}

bool differByOneVoter(const VoterSet &A, const VoterSet &B) {
  return internal::difference(A, B).size() +
             internal::difference(B, A).size() ==
         1;
}

std::optional<VoterSet> normalizedVoterSet(VoterSet Voters) {
  std::vector<Voter> &Members = Voters.m_voters;
  std::sort(Members.begin(), Members.end());
  bool Valid =
      !Members.empty() &&
      std::all_of(Members.begin(), Members.end(), internal::isValidVoter) &&
      std::adjacent_find(Members.begin(), Members.end(),
                         internal::isSameNode) == Members.end();
  if (!Valid)
    return std::nullopt;
  return Voters;
}

} // namespace turmericdyke
