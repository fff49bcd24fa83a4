#pragma once

namespace turmericdyke {

/// Limits retries to a share of the requests of one target group, so that an
/// outage does not multiply the load. Each request adds `Ratio` of a retry, up
/// to `Most`; each retry takes one.
class RetryBudget {
public:
  /// A tenth of the load, as the design asks, and a small reserve for groups
  /// with little traffic.
  explicit RetryBudget(double Ratio = 0.1, double Most = 10);

  void onRequest();
  /// Takes one retry if the budget holds it.
  bool tryTake();
  double available() const { return m_available; }

private:
  double m_ratio;
  double m_most;
  double m_available;
};

} // namespace turmericdyke
