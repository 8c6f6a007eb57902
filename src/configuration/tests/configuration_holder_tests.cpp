#include <algorithm>
#include <random>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "configuration/configuration_holder.h"
#include "configuration/tests/recording_log.h"
#include "configuration/tests/stored_samples.h"

using namespace monsoonlift;
using namespace monsoonlift::configuration;
using tests::stored_sample;

namespace {

stored_configuration with_wrong_digest(std::uint64_t revision) {
    auto stored = stored_sample(revision);
    stored.digest.front() = stored.digest.front() == '0' ? '1' : '0';
    return stored;
}

stored_configuration with_raised_revision(std::uint64_t revision) {
    auto stored = stored_sample(1);
    stored.revision = revision;
    return stored;
}

stored_configuration with_broken_document(std::uint64_t revision) {
    auto stored = stored_sample(revision);
    stored.document = "format: 1\n";
    stored.digest = digest_of(stored);
    return stored;
}

} // namespace

TEST_CASE("a revision that is not higher, has a wrong digest or an invalid document is not adopted",
          "[configuration]") {
    struct {
        const char* what;
        stored_configuration offered;
        adoption expected;
        std::uint64_t in_force;
    } const steps[] = {
        {"the first revision", stored_sample(3), adoption::adopted, 3},
        {"the same revision", stored_sample(3), adoption::not_newer, 3},
        {"a lower revision", stored_sample(2), adoption::not_newer, 3},
        {"a higher revision with a wrong digest", with_wrong_digest(9), adoption::refused, 3},
        {"an old configuration with a raised revision number", with_raised_revision(9), adoption::refused, 3},
        {"a higher revision with an invalid document", with_broken_document(9), adoption::refused, 3},
        {"a higher revision", stored_sample(5), adoption::adopted, 5},
        {"an empty configuration", {}, adoption::not_newer, 5},
    };
    tests::recording_log log;
    configuration_holder holder(log);
    CHECK(holder.current() == nullptr);
    CHECK(holder.peer_copy().empty());
    std::vector<std::uint64_t> reported;
    holder.on_change([&](std::uint64_t revision, const document&) { reported.push_back(revision); });
    for (const auto& step : steps) {
        INFO(step.what);
        CHECK(holder.adopt(step.offered) == step.expected);
        CHECK(holder.revision() == step.in_force);
        CHECK(holder.current()->services.front().slots == 100 + step.in_force);
        CHECK(parse_stored_configuration(holder.peer_copy())->revision == step.in_force);
    }
    CHECK(reported == std::vector<std::uint64_t>{3, 5});
    CHECK(log.count(logging::event_id::configuration_refused) == 3);
    CHECK(log.count(logging::event_id::configuration_adopted) == 2);
}

TEST_CASE("readers never see the revision decrease while several threads adopt", "[configuration]") {
    constexpr std::uint64_t highest = 40;
    constexpr int adopters = 3;
    tests::recording_log log;
    configuration_holder holder(log);
    std::vector<std::thread> threads;
    for (int seed = 0; seed < adopters; ++seed) {
        threads.emplace_back([&holder, seed] {
            std::vector<std::uint64_t> revisions(highest);
            std::generate(revisions.begin(), revisions.end(),
                          [next = std::uint64_t{0}]() mutable { return ++next; });
            std::mt19937 random(static_cast<unsigned>(seed));
            std::shuffle(revisions.begin(), revisions.end(), random);
            for (const auto revision : revisions) {
                holder.adopt(stored_sample(revision));
            }
        });
    }
    bool went_back = false;
    threads.emplace_back([&holder, &went_back] {
        std::uint32_t seen = 0;
        while (seen < 100 + highest) {
            const auto rules = holder.current();
            const auto slots = rules ? rules->services.front().slots : 0;
            went_back = went_back || slots < seen;
            seen = std::max(seen, slots);
        }
    });
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK_FALSE(went_back);
    CHECK(holder.revision() == highest);
}
