#include "metrics/latency_histogram.h"

#include <limits>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace monsoonlift::metrics {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bucket_count = 42;
constexpr double lowest_s = 10e-6;
constexpr double highest_s = 100;

auto make_storage() {
    using atomic_count = bh::accumulators::count<std::uint64_t, true>;
    return bh::make_histogram_with(
        bh::dense_storage<atomic_count>(),
        bh::axis::regular<double, bh::axis::transform::log>(bucket_count, lowest_s, highest_s));
}

} // namespace

struct latency_histogram::storage {
    decltype(make_storage()) histogram = make_storage();
};

latency_histogram::latency_histogram() : m_storage(std::make_unique<storage>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::nanoseconds value) {
    m_storage->histogram(std::chrono::duration<double>(value).count());
    m_sum_ns.fetch_add(value.count(), std::memory_order_relaxed);
}

std::vector<latency_histogram::bucket> latency_histogram::buckets() const {
    const auto& axis = m_storage->histogram.axis();
    std::vector<bucket> cumulative;
    std::uint64_t total = m_storage->histogram.at(-1).value();
    cumulative.push_back({lowest_s, total});
    for (int index = 0; index < axis.size(); ++index) {
        total += m_storage->histogram.at(index).value();
        cumulative.push_back({axis.value(index + 1), total});
    }
    total += m_storage->histogram.at(axis.size()).value();
    cumulative.push_back({std::numeric_limits<double>::infinity(), total});
    return cumulative;
}

std::chrono::nanoseconds latency_histogram::sum() const {
    return std::chrono::nanoseconds(m_sum_ns.load(std::memory_order_relaxed));
}

} // namespace monsoonlift::metrics
