// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace Core {

/// The counters, gauges and latency histograms of one process, exported in the Prometheus text format (version 0.0.4).
class Metrics {
public:
    /// Adds `amount` to a counter and creates the counter at first use. `labels` is the text that Prometheus puts between braces, such as
    /// `reason="over_rate"`; each distinct text is a series of its own.
    void count(std::string const& name, std::string const& labels = {}, uint64_t amount = 1);

    /// Sets a gauge, and creates it at first use. `labels` is written as for count().
    void set(std::string const& name, double value, std::string const& labels = {});

    /// Adds a duration in milliseconds to a histogram, and creates the histogram at first use.
    void observe_ms(std::string const& name, double milliseconds);

    /// Returns the value of a counter, or 0 if count() was never called for this name and these labels.
    uint64_t counter(std::string const& name, std::string const& labels = {}) const;

    /// Estimates a quantile of a histogram in milliseconds: the upper edge of the bin in which the given fraction (0 to 1) of the
    /// observations is reached. Returns 0 if the histogram does not exist.
    double quantile_ms(std::string const& name, double fraction) const;

    /// Returns all metrics in the Prometheus text format.
    std::string to_prometheus() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct Series {
        Histogram histogram;
        double sum { 0 };
        uint64_t count { 0 };
    };

    // Counters and gauges are keyed by name, then by labels; histograms have a name only.
    std::map<std::string, std::map<std::string, uint64_t>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
    std::map<std::string, Series> m_histograms;
};

}
