// Latency samples with exact quantiles: the tail cache of Boost.Accumulators holds every sample.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cstddef>

namespace quilltide::standin {

// Collects up to `maxSamples` samples, in milliseconds.
class Latencies {
 public:
  explicit Latencies(std::size_t maxSamples)
      : samples_(boost::accumulators::tag::tail<boost::accumulators::right>::cache_size = maxSamples) {}
  void add(double ms) { samples_(ms); }
  std::size_t count() const { return boost::accumulators::count(samples_); }
  double max() const { return count() == 0 ? 0 : boost::accumulators::max(samples_); }
  // Latency at the probability, in [0, 1), such as 0.99; 0 without samples.
  double quantile(double probability) const {
    if (count() == 0) return 0;
    return boost::accumulators::quantile(samples_, boost::accumulators::quantile_probability = probability);
  }

 private:
  using UpperTail = boost::accumulators::right;
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::max,
                                         boost::accumulators::tag::tail_quantile<UpperTail>>>
      samples_;
};

}  // namespace quilltide::standin
