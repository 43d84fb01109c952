// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace Core {

/// Counters, gauges and latency histograms of one process, printed as Prometheus text (format 0.0.4).
class Metrics {
public:
    /// Adds to a counter; `labels` is the text between the braces, such as `reason="over_rate"`.
    void count(std::string const& name, std::string const& labels = {}, uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string const& name, double value, std::string const& labels = {});

    /// Records a duration in milliseconds.
    void observe_ms(std::string const& name, double milliseconds);

    /// The value of a counter; 0 if it was never counted.
    uint64_t counter(std::string const& name, std::string const& labels = {}) const;

    /// The duration in milliseconds below which a share (0 to 1) of the observations lie; 0 if there are none.
    double quantile_ms(std::string const& name, double share) const;

    std::string to_prometheus() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct Series {
        Histogram histogram;
        double sum { 0 };
        uint64_t count { 0 };
    };

    std::map<std::string, std::map<std::string, uint64_t>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
    std::map<std::string, Series> m_histograms;
};

}
