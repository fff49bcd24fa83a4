#pragma once

namespace turmericdyke {

/// Limits retries to a fraction of the requests of one target group, so that an
/// outage does not multiply the load. Each request adds `Ratio` to the
/// available retries, up to `Max`; each retry takes one.
class RetryBudget {
public:
  /// By default, retries may add a tenth of the load, plus a small reserve for
  /// groups with little traffic.
  explicit RetryBudget(double Ratio = 0.1, double Max = 10);

  void onRequest();
  /// Takes one retry if available. Returns whether it did.
  bool tryTake();
  double available() const { return m_available; }

private:
  double m_ratio;
  double m_maxRetries;
  double m_available;
};

} // namespace turmericdyke
