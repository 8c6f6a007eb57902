#include "tools/slot_pool.h"

#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

namespace monsoonlift::tools {

TEST_CASE("slots are granted in queue order, except to abandoned tickets", "[tools]") {
    slot_pool pool(1);
    std::vector<int> granted;
    REQUIRE(pool.acquire(1, [] {}));
    REQUIRE_FALSE(pool.acquire(2, [&] { granted.push_back(2); }));
    REQUIRE_FALSE(pool.acquire(3, [&] { granted.push_back(3); }));
    REQUIRE_FALSE(pool.acquire(4, [&] { granted.push_back(4); }));
    CHECK(pool.waiting() == 3);
    CHECK(pool.abandon(3));
    pool.release();
    pool.release();
    CHECK(granted == std::vector<int>{2, 4});
    CHECK_FALSE(pool.abandon(4));
    pool.release();
    CHECK(pool.running() == 0);
}

TEST_CASE("requests on several threads never run in more slots than there are", "[tools]") {
    constexpr int threads = 4;
    constexpr int rounds = 500;
    slot_pool pool(2);
    std::atomic<int> running = 0;
    std::atomic<int> most = 0;
    std::atomic<int> finished = 0;
    const auto run = [&] {
        const int now = ++running;
        int before = most;
        while (before < now && !most.compare_exchange_weak(before, now)) {
        }
        --running;
        ++finished;
        pool.release();
    };
    std::vector<std::thread> workers;
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&, i] {
            for (int round = 0; round < rounds; ++round) {
                const int ticket = i * rounds + round;
                if (pool.acquire(static_cast<std::uint64_t>(ticket), run)) {
                    run();
                }
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    CHECK(finished == threads * rounds);
    CHECK(most <= 2);
    CHECK(pool.running() == 0);
}

} // namespace monsoonlift::tools
