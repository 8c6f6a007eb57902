#include "metrics/metrics_registry.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace monsoonlift::metrics {

struct metrics_registry::entry {
    std::string name;
    std::string help;
    std::string labels;
    std::string kind;
    counter count;
    std::unique_ptr<latency_histogram> latency; ///< Set for histograms only.
    std::function<double()> read;               ///< Set only for values that are read when rendered.
};

namespace {

constexpr auto counter_kind = "counter";
constexpr auto gauge_kind = "gauge";
constexpr auto histogram_kind = "histogram";

/// Significant digits of a value that is read; a double represents whole numbers of 15 digits exactly.
constexpr int value_digits = 15;

std::string in_braces(const std::string& labels) {
    return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string bound_text(double bound) {
    if (std::isinf(bound)) {
        return "+Inf";
    }
    std::ostringstream text;
    text << bound;
    return text.str();
}

void render_histogram(std::ostream& out, const std::string& name, const std::string& labels,
                      const latency_histogram& latency) {
    const std::string prefix = labels.empty() ? std::string() : labels + ",";
    const auto buckets = latency.buckets();
    for (const auto& bucket : buckets) {
        out << name << "_bucket{" << prefix << "le=\"" << bound_text(bucket.upper_bound_s) << "\"} "
            << bucket.cumulative_count << '\n';
    }
    out << name << "_sum" << in_braces(labels) << ' ' << std::chrono::duration<double>(latency.sum()).count()
        << '\n';
    out << name << "_count" << in_braces(labels) << ' ' << buckets.back().cumulative_count << '\n';
}

} // namespace

std::string label(std::string_view name, std::string_view value) {
    std::string text(name);
    text += "=\"";
    for (const char letter : value) {
        if (letter == '\n') {
            text += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter;
    }
    text += '"';
    return text;
}

metrics_registry::metrics_registry() = default;

metrics_registry::~metrics_registry() = default;

counter& metrics_registry::add_counter(const std::string& name, const std::string& help,
                                       const std::string& labels) {
    const std::scoped_lock lock(m_mutex);
    return find_or_add(name, help, labels, counter_kind).count;
}

void metrics_registry::add_gauge(const std::string& name, const std::string& help, const std::string& labels,
                                 std::function<double()> read) {
    const std::scoped_lock lock(m_mutex);
    auto& found = find_or_add(name, help, labels, gauge_kind);
    if (!found.read) {
        found.read = std::move(read);
    }
}

void metrics_registry::add_total(const std::string& name, const std::string& help, const std::string& labels,
                                 std::function<double()> read) {
    const std::scoped_lock lock(m_mutex);
    auto& found = find_or_add(name, help, labels, counter_kind);
    if (!found.read) {
        found.read = std::move(read);
    }
}

latency_histogram& metrics_registry::add_latency(const std::string& name, const std::string& help,
                                                 const std::string& labels) {
    const std::scoped_lock lock(m_mutex);
    auto& found = find_or_add(name, help, labels, histogram_kind);
    if (!found.latency) {
        found.latency = std::make_unique<latency_histogram>();
    }
    return *found.latency;
}

std::vector<const metrics_registry::entry*> metrics_registry::snapshot() const {
    const std::scoped_lock lock(m_mutex);
    std::vector<const entry*> known;
    known.reserve(m_entries.size());
    for (const auto& each : m_entries) {
        known.push_back(each.get());
    }
    return known;
}

std::string metrics_registry::render() const {
    std::ostringstream out;
    out.precision(value_digits);
    std::string described;
    for (const auto* each : snapshot()) {
        if (each->name != described) {
            described = each->name;
            out << "# HELP " << each->name << ' ' << each->help << '\n';
            out << "# TYPE " << each->name << ' ' << each->kind << '\n';
        }
        if (each->kind == histogram_kind) {
            render_histogram(out, each->name, each->labels, *each->latency);
            continue;
        }
        out << each->name << in_braces(each->labels) << ' ';
        if (each->read) {
            out << each->read() << '\n';
        } else {
            out << each->count.value() << '\n';
        }
    }
    return out.str();
}

metrics_registry::entry& metrics_registry::find_or_add(const std::string& name, const std::string& help,
                                                       const std::string& labels, const std::string& kind) {
    const auto place = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        return std::tie(each->name, each->labels) >= std::tie(name, labels);
    });
    if (place != m_entries.end() && (*place)->name == name && (*place)->labels == labels) {
        return **place;
    }
    auto added = std::make_unique<entry>();
    added->name = name;
    added->help = help;
    added->labels = labels;
    added->kind = kind;
    return **m_entries.insert(place, std::move(added));
}

} // namespace monsoonlift::metrics
