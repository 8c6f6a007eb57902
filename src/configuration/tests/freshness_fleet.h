#pragma once

#include "configuration/configuration_holder.h"
#include "configuration/freshness_holder.h"
#include "configuration/freshness_keeper.h"
#include "configuration/freshness_rules.h"
#include "configuration/tests/recording_log.h"
#include "configuration/tests/small_fleet.h"
#include "configuration/tests/stored_samples.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::configuration::tests {

/// A scheduler of one daemon, whose tasks wait while its VM is suspended.
class pausable_scheduler final : public store::scheduler {
public:
    explicit pausable_scheduler(store::scheduler& inner) : m_inner(inner) {}

    void after(std::chrono::nanoseconds delay, std::function<void()> task) override {
        m_inner.after(delay, [this, task = std::move(task)] { run(task); });
    }

    /// Runs the task now, or after the suspension.
    void run(const std::function<void()>& task) {
        if (m_paused) {
            m_waiting.push_back(task);
            return;
        }
        task();
    }

    void pause() { m_paused = true; }

    void resume() {
        m_paused = false;
        for (const auto& each : std::exchange(m_waiting, {})) {
            each();
        }
    }

private:
    store::scheduler& m_inner;
    bool m_paused = false;
    std::vector<std::function<void()>> m_waiting;
};

/// One simulated daemon with its own client of the store.
struct fresh_daemon {
    fresh_daemon(std::string name, std::string centre, store::testing::memory_store& store,
                 store::testing::manual_scheduler& shared, std::chrono::milliseconds bound)
        : id{std::move(name), {1}}, data_centre(std::move(centre)), timer(shared), api(store, timer),
          holder(log), proofs(bound) {}

    core::endpoint_id id;
    std::string data_centre;
    pausable_scheduler timer;
    store::testing::fake_object_api api;
    recording_log log;
    configuration_holder holder;
    freshness_holder proofs;
    std::shared_ptr<freshness_keeper> keeper;
};

/// Keepers of a fleet on one in-memory store, a manual clock and a network with delay and broken links.
struct freshness_fleet {
    explicit freshness_fleet(std::size_t count, std::size_t centres = 3, std::chrono::milliseconds bound = 5s)
        : rule(freshness_rule_within(bound)) {
        REQUIRE(store.update_if(current_object, 0, to_json(stored_sample(1))));
        for (std::size_t at = 0; at < count; ++at) {
            const auto name = "10.0." + std::to_string(at / 256) + "." + std::to_string(at % 256);
            const auto centre = "centre-" + std::to_string(at % centres);
            daemons.push_back(std::make_unique<fresh_daemon>(name, centre, store, timer, bound));
            auto member = member_of(name, centre);
            member.id.life = {1};
            directory.store(member);
        }
        for (const auto& each : daemons) {
            connect(*each);
        }
    }

    void start() {
        for (const auto& each : daemons) {
            each->keeper->start();
        }
    }

    void accept(std::uint64_t revision) {
        const auto known = store.get(current_object);
        REQUIRE(store.update_if(current_object, known->version, to_json(stored_sample(revision))));
    }

    /// Brings the store back from a copy with an earlier configuration; every daemon that runs sees the era.
    void restore(std::uint64_t revision) {
        accept(revision);
        ++era;
        for (const auto& each : daemons) {
            each->keeper->note_era(era);
        }
    }

    /// Starts a daemon anew: it knows nothing until it has read the store or heard of its peers.
    void restart(std::size_t at) {
        auto& daemon = daemons[at];
        daemon->keeper->stop();
        m_ended.push_back(std::move(daemon));
        const auto& before = *m_ended.back();
        daemon =
            std::make_unique<fresh_daemon>(before.id.address, before.data_centre, store, timer, rule.bound);
        connect(*daemon);
        daemon->keeper->note_era(era);
        daemon->keeper->start();
    }

    /// Advances the clock; notes the highest age of any daemon at each step.
    void run_for(std::chrono::milliseconds span) {
        highest_age = 0ms;
        for (auto passed = 0ms; passed < span; passed += step) {
            timer.run_for(step);
            for (const auto& each : daemons) {
                highest_age = std::max(highest_age, age(*each));
            }
        }
    }

    /// Runs until the condition holds, at most `longest`; returns the time it took.
    std::chrono::milliseconds time_until(const std::function<bool()>& reached,
                                         std::chrono::milliseconds longest) {
        auto passed = 0ms;
        for (; passed < longest && !reached(); passed += step) {
            timer.run_for(step);
        }
        return passed;
    }

    std::chrono::milliseconds age(const fresh_daemon& daemon) const {
        const auto proven = daemon.proofs.proven();
        return proven ? std::chrono::duration_cast<std::chrono::milliseconds>(clock.boot_now() - *proven)
                      : std::chrono::hours(1);
    }

    bool serves(const fresh_daemon& daemon) const {
        return may_serve(daemon.proofs.proven(), rule.bound, clock.boot_now());
    }

    std::size_t serving() const {
        return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(),
                                                      [this](const auto& each) { return serves(*each); }));
    }

    std::uint64_t store_calls() const {
        std::uint64_t calls = 0;
        for (const auto& each : daemons) {
            calls += each->api.calls();
        }
        return calls;
    }

    bool is_watcher(const fresh_daemon& daemon) const {
        return configuration::is_watcher(daemon.id.address, daemon.data_centre, directory.members(),
                                         rule.watchers_per_data_centre);
    }

    void set_outage(const std::function<bool(const fresh_daemon&)>& chosen, bool outage,
                    bool silent = false) {
        for (const auto& each : daemons) {
            if (chosen(*each)) {
                each->api.set_outage(outage, silent);
            }
        }
    }

    fresh_daemon* find(const std::string& address) const {
        const auto found = std::find_if(daemons.begin(), daemons.end(),
                                        [&](const auto& each) { return each->id.address == address; });
        return found == daemons.end() ? nullptr : found->get();
    }

    freshness_rule rule;
    static constexpr std::chrono::milliseconds step{20};
    static constexpr std::chrono::milliseconds link_delay{4};
    static constexpr std::chrono::milliseconds pull_time{150};
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler timer{clock};
    store::testing::memory_store store;
    membership::member_directory directory;
    /// Whether a message from the first daemon reaches the second; if empty, every one does.
    std::function<bool(const fresh_daemon& from, const fresh_daemon& to)> can_send;
    std::uint64_t messages = 0;
    std::uint64_t era = 1; ///< Of the store, as its answers tell.
    std::chrono::milliseconds highest_age{0};
    std::vector<std::unique_ptr<fresh_daemon>> daemons;

private:
    void connect(fresh_daemon& daemon) {
        const auto send = [this, &daemon](const core::endpoint_id& to, const std::string& payload) {
            deliver(daemon, to, payload);
        };
        const auto pull = [this, &daemon](const std::string& address, std::uint64_t) {
            const auto* from = find(address);
            daemon.timer.after(pull_time, [&daemon, from] {
                daemon.holder.adopt(*parse_stored_configuration(from->holder.peer_copy()));
            });
        };
        daemon.keeper = std::make_shared<freshness_keeper>(
            freshness_parts{daemon.api, daemon.timer, clock, directory, daemon.holder, daemon.proofs,
                            daemon.log, send, pull},
            freshness_identity{daemon.id.address, daemon.data_centre, ++m_seed}, rule);
    }

    void deliver(fresh_daemon& from, const core::endpoint_id& to, const std::string& payload) {
        ++messages;
        auto* target = find(to.address);
        if (target == nullptr || (can_send && !can_send(from, *target))) {
            return;
        }
        target->timer.after(
            link_delay, [target, sender = from.id, payload] { target->keeper->received(sender, payload); });
    }

    std::uint64_t m_seed = 0;
    std::vector<std::unique_ptr<fresh_daemon>> m_ended; ///< Kept, as their tasks may still be due.
};

} // namespace monsoonlift::configuration::tests
