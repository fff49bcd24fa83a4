#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace turmericdyke {

/// One label of a metric, for example {"customer", "acme"}.
struct MetricLabel {
  std::string_view m_name;
  std::string_view m_value;
};

/// Counters, gauges and latency histograms of this process, written as
/// Prometheus text. Series are sharded by name and labels, with one lock per
/// shard. Histograms use Boost.Histogram with logarithmic buckets from 1 ms to
/// 1000 s.
class MetricsRegistry {
public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry &) = delete;
  MetricsRegistry &operator=(const MetricsRegistry &) = delete;

  void increment(std::string_view Name,
                 const std::vector<MetricLabel> &Labels = {}, double By = 1);
  void set(std::string_view Name, double Value,
           const std::vector<MetricLabel> &Labels = {});
  /// Records a duration in seconds.
  void observe(std::string_view Name, double Seconds,
               const std::vector<MetricLabel> &Labels = {});

  /// The sum of a counter or the value of a gauge; 0 when the series does not
  /// exist.
  double value(std::string_view Name,
               const std::vector<MetricLabel> &Labels = {}) const;

  /// All series in Prometheus text exposition format, sorted by name.
  std::string prometheusText() const;

private:
  struct Histogram;
  struct Shard;
  Shard &shardOf(std::string_view Key) const;

  std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace turmericdyke
