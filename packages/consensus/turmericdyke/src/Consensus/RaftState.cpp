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

/// How many of the live voters may be lost before no majority is left; negative
/// without a majority.
std::ptrdiff_t tolerance(const VoterSet &Set, absl::Span<const Voter> Live) {
  std::ptrdiff_t LiveVoters =
      std::count_if(Live.begin(), Live.end(),
                    [&](const Voter &Node) { return Set.contains(Node); });
  return LiveVoters - static_cast<std::ptrdiff_t>(Set.majority());
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

VoterSet nextVoterSet(const VoterSet &Current, const VoterSet &Goal,
                      absl::Span<const Voter> Live) {
  std::vector<VoterSet> Steps;
  for (const Voter &Removed : internal::difference(Current, Goal)) {
    VoterSet &Next = Steps.emplace_back(Current);
    std::erase(Next.m_voters, Removed);
  }
  for (const Voter &Added : internal::difference(Goal, Current)) {
    if (Current.find(Added.m_node) != nullptr)
      continue;
    VoterSet &Next = Steps.emplace_back(Current);
    Next.m_voters.push_back(Added);
    std::sort(Next.m_voters.begin(), Next.m_voters.end());
  }
  // Removals come first, so they win among equals: a removal needs no
  // acknowledgement of the new voter.
  auto Best = std::max_element(
      Steps.begin(), Steps.end(), [&](const VoterSet &A, const VoterSet &B) {
        return internal::tolerance(A, Live) < internal::tolerance(B, Live);
      });
  return Best == Steps.end() ? Current : *Best;
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
