#include "turmericdyke/src/Serving/LoadInterpretation.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <numeric>

namespace turmericdyke {

namespace internal {
namespace {

/// Fraction of the reported requests that have completed since.
double completedFraction(const ReportedLoad &Report) {
  assert(Report.m_meanRunTime > absl::ZeroDuration());
  return std::clamp(absl::FDivDuration(Report.m_age, Report.m_meanRunTime), 0.0,
                    1.0);
}

/// Load per capacity up to which `Arrivals` fill the least loaded targets.
double fillLevel(absl::Span<const ReportedLoad> Reports,
                 absl::Span<const double> Remaining, double Arrivals) {
  std::vector<std::size_t> Order(Reports.size());
  std::iota(Order.begin(), Order.end(), 0);
  auto LoadAt = [&](std::size_t At) {
    return Remaining[At] / Reports[At].m_capacity;
  };
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return LoadAt(A) < LoadAt(B);
  });
  double Load = Arrivals;
  double Capacity = 0;
  double Level = 0;
  for (std::size_t At : Order) {
    if (Capacity > 0 && LoadAt(At) >= Level)
      break;
    Load += Remaining[At];
    Capacity += Reports[At].m_capacity;
    Level = Load / Capacity;
  }
  return Level;
}

} // namespace
} // namespace internal

double LoadInterpretation::loadOf(std::size_t At,
                                  const ReportedLoad &Report) const {
  return std::max(m_level, m_remaining[At] / Report.m_capacity);
}

LoadInterpretation interpretLoad(absl::Span<const ReportedLoad> Reports,
                                 double Request, double Ages) {
  assert(Request > 0 && Ages >= 1);
  LoadInterpretation Value;
  double Completed = 0;
  for (const ReportedLoad &Report : Reports) {
    double Part = Report.m_others * internal::completedFraction(Report);
    Value.m_remaining.push_back(Report.m_own + Report.m_others - Part);
    Completed += Part;
  }
  Value.m_arrivals = Completed;
  Value.m_level =
      internal::fillLevel(Reports, Value.m_remaining, Value.m_arrivals);
  double Target = internal::fillLevel(Reports, Value.m_remaining,
                                      Completed * Ages + Request);
  for (std::size_t At = 0; At < Reports.size(); ++At)
    Value.m_deficits.push_back(
        std::max(0.0, Target * Reports[At].m_capacity - Value.m_remaining[At]));
  return Value;
}

} // namespace turmericdyke
