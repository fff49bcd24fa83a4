#include "turmericdyke/src/Base/Metrics.h"

#include <boost/histogram.hpp>

#include <fmt/format.h>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t MetricShards = 16;
constexpr unsigned HistogramBuckets = 48;
constexpr double MinSeconds = 0.001;
constexpr double MaxSeconds = 1000;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using LatencyHistogram =
    decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

/// The labels as `label="value",...` without braces, so that `le` can follow.
std::string labelText(const std::vector<MetricLabel> &Labels) {
  std::string Text;
  for (const MetricLabel &Label : Labels) {
    std::string Value = absl::StrReplaceAll(
        absl::string_view(Label.m_value.data(), Label.m_value.size()),
        {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
    absl::StrAppend(&Text, Text.empty() ? "" : ",", std::string(Label.m_name),
                    "=\"", Value, "\"");
  }
  return Text;
}

std::string seriesText(std::string_view Name, std::string_view Labels) {
  return Labels.empty() ? std::string(Name)
                        : fmt::format("{}{{{}}}", Name, Labels);
}

/// A series is keyed by its name and label text, separated by a byte that
/// occurs in neither.
std::string seriesKey(std::string_view Name,
                      const std::vector<MetricLabel> &Labels) {
  return absl::StrCat(std::string(Name), std::string(1, '\0'),
                      labelText(Labels));
}

} // namespace
} // namespace internal

struct MetricsRegistry::Histogram {
  internal::LatencyHistogram m_buckets = boost::histogram::make_histogram(
      internal::LogAxis(internal::HistogramBuckets, internal::MinSeconds,
                        internal::MaxSeconds));
  double m_sum = 0;
  std::uint64_t m_count = 0;

  void write(std::string_view Name, std::string_view Labels,
             std::string &Out) const;
};

struct MetricsRegistry::Shard {
  mutable absl::Mutex m_lock;
  std::map<std::string, double> m_values ABSL_GUARDED_BY(m_lock);
  std::map<std::string, Histogram> m_histograms ABSL_GUARDED_BY(m_lock);
};

void MetricsRegistry::Histogram::write(std::string_view Name,
                                       std::string_view Labels,
                                       std::string &Out) const {
  std::string Prefix =
      Labels.empty() ? "" : absl::StrCat(std::string(Labels), ",");
  double Total = 0;
  for (int Index = -1; Index < m_buckets.axis().size(); ++Index) {
    Total += static_cast<double>(m_buckets.at(Index));
    Out += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", Name, Prefix,
                       m_buckets.axis().value(Index + 1), Total);
  }
  Out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", Name, Prefix, m_count);
  Out += fmt::format("{} {}\n",
                     internal::seriesText(fmt::format("{}_sum", Name), Labels),
                     m_sum);
  Out += fmt::format(
      "{} {}\n", internal::seriesText(fmt::format("{}_count", Name), Labels),
      m_count);
}

MetricsRegistry::MetricsRegistry() {
  for (std::size_t Index = 0; Index < internal::MetricShards; ++Index)
    m_shards.push_back(std::make_unique<Shard>());
}

MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Shard &MetricsRegistry::shardOf(std::string_view Key) const {
  return *m_shards[absl::Hash<std::string_view>()(Key) % m_shards.size()];
}

void MetricsRegistry::increment(std::string_view Name,
                                const std::vector<MetricLabel> &Labels,
                                double By) {
  std::string Key = internal::seriesKey(Name, Labels);
  Shard &Owner = shardOf(Key);
  absl::MutexLock Lock(&Owner.m_lock);
  Owner.m_values[Key] += By;
}

void MetricsRegistry::set(std::string_view Name, double Value,
                          const std::vector<MetricLabel> &Labels) {
  std::string Key = internal::seriesKey(Name, Labels);
  Shard &Owner = shardOf(Key);
  absl::MutexLock Lock(&Owner.m_lock);
  Owner.m_values[Key] = Value;
}

void MetricsRegistry::observe(std::string_view Name, double Seconds,
                              const std::vector<MetricLabel> &Labels) {
  std::string Key = internal::seriesKey(Name, Labels);
  Shard &Owner = shardOf(Key);
  absl::MutexLock Lock(&Owner.m_lock);
  Histogram &Series = Owner.m_histograms[Key];
  Series.m_buckets(Seconds);
  Series.m_sum += Seconds;
  ++Series.m_count;
}

double MetricsRegistry::value(std::string_view Name,
                              const std::vector<MetricLabel> &Labels) const {
  std::string Key = internal::seriesKey(Name, Labels);
  Shard &Owner = shardOf(Key);
  absl::MutexLock Lock(&Owner.m_lock);
  auto Found = Owner.m_values.find(Key);
  return Found == Owner.m_values.end() ? 0 : Found->second;
}

std::string MetricsRegistry::prometheusText() const {
  std::map<std::string, std::string> Lines;
  for (const auto &Owner : m_shards) {
    absl::MutexLock Lock(&Owner->m_lock);
    for (const auto &[Key, Value] : Owner->m_values) {
      std::size_t Cut = Key.find('\0');
      Lines[Key] = fmt::format(
          "{} {}\n",
          internal::seriesText(Key.substr(0, Cut), Key.substr(Cut + 1)), Value);
    }
    for (const auto &[Key, Series] : Owner->m_histograms) {
      std::size_t Cut = Key.find('\0');
      Series.write(Key.substr(0, Cut), Key.substr(Cut + 1), Lines[Key]);
    }
  }
  std::string Text;
  for (const auto &[Key, Line] : Lines)
    Text += Line;
  return Text;
}

} // namespace turmericdyke
