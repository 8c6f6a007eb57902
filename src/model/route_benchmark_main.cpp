/// Measures the time of one endpoint choice in a routing table of 920 endpoints in 74 services.
#include "routing/routing_table.h"

#include <chrono>
#include <cstddef>
#include <iostream>
#include <string>

namespace {

using namespace monsoonlift;

constexpr std::size_t endpoint_count = 920;
constexpr std::size_t service_count = 74;
constexpr std::size_t data_centre_count = 4;
constexpr std::size_t choice_count = 500'000;

routing::routing_table build_table(core::steady_time now) {
    routing::routing_table table;
    table.data_centre = "0";
    for (std::size_t index = 0; index < endpoint_count; ++index) {
        const core::endpoint_id id{"10.0.0." + std::to_string(index) + ":7000", core::incarnation{1}};
        routing::upsert(table, id, "service-" + std::to_string(index % service_count),
                        std::to_string(index / service_count % data_centre_count), false, true, now);
    }
    return table;
}

} // namespace

int main() {
    const core::steady_time now{std::chrono::hours(1)};
    const auto build_start = std::chrono::steady_clock::now();
    auto table = build_table(now);
    const std::chrono::duration<double, std::milli> build_time =
        std::chrono::steady_clock::now() - build_start;
    routing::random_engine random(1);
    routing::route_request request;
    std::size_t chosen = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < choice_count; ++index) {
        request.service = "service-" + std::to_string(index % service_count);
        const auto choice = routing::choose(table, request, random, now);
        if (choice.endpoint) {
            ++chosen;
            routing::record_sent(table, *choice.endpoint);
            routing::record_result(table, *choice.endpoint, {}, now);
        }
    }
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
    std::cout << R"({"endpoints":)" << endpoint_count << R"(,"services":)" << service_count
              << R"(,"build_ms":)" << build_time.count() << R"(,"choice_ns":)"
              << time.count() / static_cast<double>(choice_count) << R"(,"chosen":)" << chosen << "}\n";
    return 0;
}
