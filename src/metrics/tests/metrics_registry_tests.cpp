#include "metrics/metrics_registry.h"

#include <thread>

#include <catch2/catch.hpp>

using namespace monsoonlift::metrics;

TEST_CASE("counters, gauges and histograms are rendered in the text format", "[metrics]") {
    metrics_registry registry;
    registry.add_counter("calls_total", "Calls by verdict.", "verdict=\"ran\"").add(3);
    registry.add_counter("calls_total", "Calls by verdict.", "verdict=\"not_run\"").add();
    registry.add_gauge("members", "Members known.", "", [] { return 4.0; });
    registry.add_latency("hop_seconds", "Time of a hop.").record(std::chrono::milliseconds(2));
    const std::string text = registry.render();
    CHECK_THAT(text, Catch::Contains("# TYPE calls_total counter\ncalls_total{verdict=\"not_run\"} 1\n"
                                     "calls_total{verdict=\"ran\"} 3\n"));
    CHECK_THAT(text, Catch::Contains("members 4\n"));
    CHECK_THAT(text, Catch::Contains(
                         "hop_seconds_bucket{le=\"+Inf\"} 1\nhop_seconds_sum 0.002\nhop_seconds_count 1\n"));
}

TEST_CASE("a total read from elsewhere is rendered as a counter with all its digits", "[metrics]") {
    metrics_registry registry;
    registry.add_total("bytes_total", "Bytes.", "", [] { return 1234567890.0; });
    CHECK_THAT(registry.render(), Catch::Contains("# TYPE bytes_total counter\nbytes_total 1234567890\n"));
}

TEST_CASE("adding the same name and labels again returns the same counter", "[metrics]") {
    metrics_registry registry;
    registry.add_counter("a", "A.").add();
    registry.add_counter("a", "A.").add();
    REQUIRE(registry.add_counter("a", "A.").value() == 2);
}

TEST_CASE("times outside the scale are counted in the first or the last bucket", "[metrics]") {
    latency_histogram latency;
    latency.record(std::chrono::nanoseconds(1));
    latency.record(std::chrono::hours(1));
    const auto buckets = latency.buckets();
    REQUIRE(buckets.front().cumulative_count == 1);
    REQUIRE(buckets[buckets.size() - 2].cumulative_count == 1);
    REQUIRE(buckets.back().cumulative_count == 2);
}

TEST_CASE("no count is lost when several threads add the same metrics", "[metrics][threads]") {
    constexpr int times = 2000;
    metrics_registry registry;
    const auto work = [&] {
        for (int i = 0; i < times; ++i) {
            registry.add_counter("a", "A.").add();
            registry.add_latency("b", "B.").record(std::chrono::milliseconds(1));
        }
    };
    std::thread first(work);
    std::thread second(work);
    first.join();
    second.join();
    REQUIRE(registry.add_counter("a", "A.").value() == 2 * times);
    REQUIRE(registry.add_latency("b", "B.").buckets().back().cumulative_count == 2 * times);
}
