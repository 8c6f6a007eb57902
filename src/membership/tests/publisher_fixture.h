#pragma once

#include "core/contain.h"
#include "membership/internal/member_object_publisher.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"
#include "store/testing/memory_store.h"
#include "testing/manual_clock.h"
#include "testing/silent_log.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::membership::tests {

using internal::known_member;
using internal::member_object_publisher;

/// Value of a daemon's platform object.
inline std::string value_of(const std::string& membership_address, std::uint64_t life) {
    return R"({"membership_address":")" + membership_address + R"(","incarnation":)" + std::to_string(life) +
           R"(,"name":"vm","data_centre":"palermo"})";
}

/// A member_object_publisher with a fake platform and a manual clock.
struct publisher_fixture {
    publisher_fixture() { start(); }

    void start() {
        member self;
        self.id = {"10.0.0.1:7000", {next_incarnation++}};
        self.membership_address = "10.0.0.1:7100";
        member_object_publisher::hooks hooks;
        hooks.on_peers = [this](const std::vector<std::string>& peers) {
            if (std::exchange(fails_at_peers, false)) {
                throw std::runtime_error("no memory left");
            }
            last_peers = peers;
        };
        hooks.on_recorded_deregistrations = [this](const std::vector<core::departed_incarnation>& past) {
            if (std::exchange(fails_at_past, false)) {
                throw std::runtime_error("no memory left");
            }
            pasts.push_back(past);
        };
        hooks.find_known_member = [this](const std::string& address) -> std::optional<known_member> {
            const auto found = known_members.find(address);
            return found == known_members.end() ? std::nullopt : std::optional(found->second);
        };
        publisher = std::make_shared<member_object_publisher>(io.get_executor(), api, scheduler, self, 7,
                                                              clock, log, hooks);
        publisher->publish();
        run();
    }

    /// Simulates 4 s, longer than the timeout of a platform call, and runs the tasks due in that time.
    void run() {
        constexpr int turns = 40;
        for (int turn = 0; turn < turns; ++turn) {
            scheduler.run_for(std::chrono::milliseconds(100));
            if (is_ticking) {
                publisher->note_running();
            }
            io.restart();
            poll();
        }
    }

    /// Runs what is ready as a daemon's loop does, if the test expects failures.
    void poll() {
        if (!goes_on_after_failures) {
            io.poll();
            return;
        }
        bool has_ended = false;
        while (!has_ended) {
            has_ended = core::contain([this] { io.poll(); }, [this](const std::string&) { ++failures; });
        }
    }

    /// Records deregistrations; returns whether the platform has acknowledged them by the end of run().
    bool record(const std::vector<core::departed_incarnation>& deregistrations) {
        const auto is_kept = std::make_shared<bool>(false);
        publisher->record_deregistrations(deregistrations, [is_kept] { *is_kept = true; });
        run();
        return *is_kept;
    }

    /// Simulates a restart of the daemon's process; with `in_order` the old process first leaves the fleet.
    void restart(bool in_order) {
        if (in_order) {
            publisher->remove([] {});
            run();
        }
        publisher->stop();
        publisher.reset();
        start();
    }

    void list() {
        publisher->list();
        run();
    }

    /// Adds the object of another daemon and its status in the member table.
    void add(const std::string& address, std::uint64_t life, member_status status) {
        static_cast<void>(store.update_if("members/" + address, 0, value_of(address, life)));
        known_members[address] = {{life}, status, clock.now()};
    }

    [[nodiscard]] bool has(const std::string& address) const {
        return store.get("members/" + address).has_value();
    }

    boost::asio::io_context io;
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler scheduler{clock};
    store::testing::memory_store store;
    store::testing::fake_object_api api{store, scheduler};
    monsoonlift::testing::silent_log log;
    std::map<std::string, known_member> known_members;
    std::vector<std::string> last_peers;
    std::vector<std::vector<core::departed_incarnation>>
        pasts; ///< Argument of on_recorded_deregistrations, by process.
    std::uint64_t next_incarnation = 50;
    std::shared_ptr<member_object_publisher> publisher;
    bool goes_on_after_failures = false;
    bool fails_at_peers = false; ///< The next on_peers throws.
    bool fails_at_past = false;  ///< The next on_recorded_deregistrations throws.
    int failures = 0;
    bool is_ticking = false; ///< run() calls note_running() every 100 ms.
};

} // namespace monsoonlift::membership::tests
