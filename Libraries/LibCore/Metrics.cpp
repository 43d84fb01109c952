// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Metrics.h>

#include <sstream>

namespace Core {

// The bins reach from ten microseconds to ten minutes. Each is about a fifth wider than the one below it.
static constexpr int histogram_bins = 100;
static constexpr double histogram_low_ms = 0.01;
static constexpr double histogram_high_ms = 600000;

static std::string braces(std::string const& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void Metrics::count(std::string const& name, std::string const& labels, uint64_t amount)
{
    m_counters[name][labels] += amount;
}

void Metrics::set(std::string const& name, double value, std::string const& labels)
{
    m_gauges[name][labels] = value;
}

void Metrics::observe_ms(std::string const& name, double milliseconds)
{
    auto found = m_histograms.find(name);
    if (found == m_histograms.end()) {
        auto histogram = boost::histogram::make_histogram(Axis(histogram_bins, histogram_low_ms, histogram_high_ms));
        found = m_histograms.emplace(name, Series { std::move(histogram) }).first;
    }
    found->second.histogram(milliseconds);
    found->second.sum += milliseconds;
    found->second.count += 1;
}

uint64_t Metrics::counter(std::string const& name, std::string const& labels) const
{
    auto series = m_counters.find(name);
    if (series == m_counters.end())
        return 0;
    auto value = series->second.find(labels);
    return value == series->second.end() ? 0 : value->second;
}

double Metrics::quantile_ms(std::string const& name, double fraction) const
{
    auto found = m_histograms.find(name);
    if (found == m_histograms.end())
        return 0;
    auto const& histogram = found->second.histogram;
    double const target_count = fraction * static_cast<double>(found->second.count);
    double cumulative_count = 0;
    for (int bin = -1; bin < histogram_bins; ++bin) {
        cumulative_count += histogram.at(bin);
        if (cumulative_count >= target_count)
            return histogram.axis().bin(bin).upper();
    }
    return histogram_high_ms;
}

std::string Metrics::to_prometheus() const
{
    std::ostringstream out;
    for (auto const& [name, values] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (auto const& [labels, value] : values)
            out << name << braces(labels) << ' ' << value << '\n';
    }
    for (auto const& [name, values] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (auto const& [labels, value] : values)
            out << name << braces(labels) << ' ' << value << '\n';
    }
    for (auto const& [name, series] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        double cumulative_count = series.histogram.at(-1);
        for (int bin = 0; bin < histogram_bins; ++bin) {
            cumulative_count += series.histogram.at(bin);
            out << name << "_bucket{le=\"" << series.histogram.axis().bin(bin).upper() << "\"} " << cumulative_count << '\n';
        }
        out << name << "_bucket{le=\"+Inf\"} " << series.count << '\n';
        out << name << "_sum " << series.sum << '\n';
        out << name << "_count " << series.count << '\n';
    }
    return out.str();
}

}
