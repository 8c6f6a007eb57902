#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "configuration/configuration_follower.h"
#include "configuration/tests/recording_log.h"
#include "configuration/tests/stored_samples.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"

namespace monsoonlift::configuration::tests {

using namespace std::chrono_literals;

/// Simulated peers. Each answer is computed by a function that a test can replace; a peer without a function,
/// or whose function returns an empty text, times out.
class fake_peers final : public peer_source {
public:
    explicit fake_peers(store::scheduler& timer) : m_timer(timer) {}

    void fetch(const std::string& admin_address, std::chrono::milliseconds patience, handler done) override {
        ++pulls;
        const auto found = answers.find(admin_address);
        const auto text = found == answers.end() ? std::string{} : found->second();
        const auto delay = text.empty() ? patience : 2ms;
        m_timer.after(delay, [done = std::move(done), text] {
            if (text.empty()) {
                done(core::captured_failure<std::string>({core::error_code::timeout, "no answer"}));
                return;
            }
            done(text);
        });
    }

    std::map<std::string, std::function<std::string()>> answers;
    std::size_t pulls = 0;

private:
    store::scheduler& m_timer;
};

/// One simulated daemon: a follower with its own client of the platform.
struct daemon_under_test {
    daemon_under_test(store::testing::memory_store& store, store::testing::manual_scheduler& timer,
                      const core::clock& clock, fake_peers& peers,
                      const membership::member_directory& directory, const std::string& name,
                      const std::string& data_centre, std::uint64_t seed, const follower_rule& rule)
        : address(name), api(store, timer), holder(log),
          follower(std::make_shared<configuration_follower>(
              follower_parts{api, peers, timer, clock, directory, holder, log},
              follower_identity{name, data_centre, seed}, rule)) {}

    std::string address;
    store::testing::fake_object_api api;
    tests::recording_log log;
    configuration_holder holder;
    std::shared_ptr<configuration_follower> follower;
};

inline membership::member member_of(const std::string& address, const std::string& data_centre,
                                    membership::member_status status = membership::member_status::alive,
                                    bool draining = false) {
    membership::member result;
    result.id.address = address;
    result.admin_address = "admin of " + address;
    result.data_centre = data_centre;
    result.status = status;
    result.draining = draining;
    return result;
}

/// Daemons that follow one in-memory platform, on a manual clock.
struct small_fleet {
    explicit small_fleet(std::size_t count, std::size_t centres = 3, const follower_rule& chosen = {})
        : rule(chosen) {
        for (std::size_t at = 0; at < count; ++at) {
            add("10.0." + std::to_string(at / 256) + "." + std::to_string(at % 256),
                "centre-" + std::to_string(at % centres));
        }
    }

    daemon_under_test& add(const std::string& address, const std::string& data_centre) {
        daemons.push_back(std::make_unique<daemon_under_test>(store, timer, clock, peers, directory, address,
                                                              data_centre, daemons.size() + 1, rule));
        auto& added = *daemons.back();
        peers.answers["admin of " + address] = [&added] {
            return added.holder.peer_copy();
        };
        directory.store(member_of(address, data_centre));
        return added;
    }

    void start() {
        for (const auto& each : daemons) {
            each->follower->start();
        }
    }

    void accept(std::uint64_t revision) {
        const auto known = store.get(current_object);
        REQUIRE(
            store.update_if(current_object, known ? known->version : 0, to_json(stored_sample(revision))));
    }

    /// Advances the clock by `span`. Once per second, each daemon probes a random one and both report their
    /// revisions to each other.
    void run_for(std::chrono::milliseconds span) {
        for (auto passed = 0ms; passed < span; passed += probe_round) {
            for (std::size_t at = rounds % rounds_per_second; at < daemons.size(); at += rounds_per_second) {
                const std::size_t target = random() % daemons.size();
                if (!can_probe || can_probe(at, target)) {
                    probe(*daemons[at], *daemons[target]);
                }
            }
            ++rounds;
            timer.run_for(probe_round);
        }
    }

    static void probe(daemon_under_test& from, daemon_under_test& to) {
        to.follower->on_peer_revision("admin of " + from.address, from.holder.revision());
        from.follower->on_peer_revision("admin of " + to.address, to.holder.revision());
    }

    /// Runs until the revision is in force in every daemon, at most 60 s; returns the time it took.
    std::chrono::milliseconds spread(std::uint64_t revision) {
        auto passed = 0ms;
        while (count_at(revision) < daemons.size() && passed < 60s) {
            run_for(probe_round);
            passed += probe_round;
        }
        return passed;
    }

    std::size_t count_at(std::uint64_t revision) const {
        return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const auto& each) {
            return each->holder.revision() == revision;
        }));
    }

    std::uint64_t store_calls() const {
        std::uint64_t calls = 0;
        for (const auto& each : daemons) {
            calls += each->api.calls();
        }
        return calls;
    }

    void set_outage(bool outage, bool silent = false) {
        for (const auto& each : daemons) {
            each->api.set_outage(outage, silent);
        }
    }

    follower_rule rule;
    static constexpr std::chrono::milliseconds probe_round{200};
    static constexpr std::size_t rounds_per_second = 5;
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler timer{clock};
    store::testing::memory_store store;
    fake_peers peers{timer};
    /// Whether a probe reaches its target; if empty, every probe does.
    std::function<bool(std::size_t from, std::size_t to)> can_probe;
    std::mt19937 random{17};
    std::size_t rounds = 0;
    membership::member_directory directory;
    std::vector<std::unique_ptr<daemon_under_test>> daemons;
};

} // namespace monsoonlift::configuration::tests
