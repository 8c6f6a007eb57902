#include "tools/latency_record.h"

#include <cmath>

#include <boost/histogram.hpp>

namespace monsoonlift::tools {
namespace {

namespace histogram = boost::histogram;

constexpr double lowest_s = 1e-6;
constexpr double highest_s = 1e3;
constexpr int bins = 4144; ///< Number of bins, each 0.5% wider than the one before.

auto make_storage() {
    using axis = histogram::axis::regular<double, histogram::axis::transform::log>;
    return histogram::make_histogram_with(std::vector<std::uint64_t>(), axis(bins, lowest_s, highest_s));
}

} // namespace

struct latency_record::storage {
    decltype(make_storage()) counts = make_storage();
    std::uint64_t total = 0;
};

latency_record::latency_record() : m_storage(std::make_unique<storage>()) {}

latency_record::latency_record(latency_record&&) noexcept = default;
latency_record& latency_record::operator=(latency_record&&) noexcept = default;
latency_record::~latency_record() = default;

void latency_record::add(std::chrono::nanoseconds value) {
    m_storage->counts(std::chrono::duration<double>(value).count());
    ++m_storage->total;
}

void latency_record::merge(const latency_record& other) {
    m_storage->counts += other.m_storage->counts;
    m_storage->total += other.m_storage->total;
}

std::chrono::nanoseconds latency_record::quantile(double share) const {
    const double target_count = share * static_cast<double>(m_storage->total);
    double cumulative_count = 0;
    for (const auto& bin : histogram::indexed(m_storage->counts, histogram::coverage::all)) {
        cumulative_count += static_cast<double>(*bin);
        if (cumulative_count >= target_count && *bin > 0) {
            const double upper = std::isfinite(bin.bin().upper()) ? bin.bin().upper() : highest_s;
            return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(upper));
        }
    }
    return std::chrono::nanoseconds{0};
}

std::uint64_t latency_record::count() const {
    return m_storage->total;
}

} // namespace monsoonlift::tools
