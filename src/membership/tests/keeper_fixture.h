#pragma once

#include "membership/internal/member_object_keeper.h"
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
#include <string>
#include <vector>

namespace monsoonlift::membership::tests {

using internal::member_belief;
using internal::member_object_keeper;

/// What the object of a daemon says.
inline std::string value_of(const std::string& membership_address, std::uint64_t life) {
    return R"({"membership_address":")" + membership_address + R"(","incarnation":)" + std::to_string(life) +
           R"(,"name":"vm","data_centre":"palermo"})";
}

/// One keeper at a fake platform on manual time.
struct keeper_fixture {
    keeper_fixture() { start(); }

    void start() {
        member self;
        self.id = {"10.0.0.1:7000", {next_life++}};
        self.membership_address = "10.0.0.1:7100";
        member_object_keeper::hooks hooks;
        hooks.on_peers = [this](const std::vector<std::string>& peers) {
            last_peers = peers;
        };
        hooks.on_past = [this](const std::vector<core::departed_life>& past) {
            pasts.push_back(past);
        };
        hooks.belief = [this](const std::string& address) -> std::optional<member_belief> {
            const auto found = beliefs.find(address);
            return found == beliefs.end() ? std::nullopt : std::optional(found->second);
        };
        keeper = std::make_shared<member_object_keeper>(io.get_executor(), api, scheduler, self, 7, clock,
                                                        log, hooks);
        keeper->publish();
        run();
    }

    /// Runs what is due; longer than a call to the platform may take.
    void run() {
        constexpr int turns = 40;
        for (int turn = 0; turn < turns; ++turn) {
            scheduler.run_for(std::chrono::milliseconds(100));
            if (is_ticking) {
                keeper->awake();
            }
            io.restart();
            io.poll();
        }
    }

    /// Records a farewell; whether the platform has it before `run` is over.
    bool record(const std::vector<core::departed_life>& left) {
        const auto is_kept = std::make_shared<bool>(false);
        keeper->record_farewells(left, [is_kept] { *is_kept = true; });
        run();
        return *is_kept;
    }

    /// Ends the keeper, in order or at once, and starts that of the next process.
    void restart(bool in_order) {
        if (in_order) {
            keeper->remove([] {});
            run();
        }
        keeper->stop();
        keeper.reset();
        start();
    }

    void list() {
        keeper->list();
        run();
    }

    /// An object of another daemon and what the member table says of it.
    void add(const std::string& address, std::uint64_t life, member_status status) {
        static_cast<void>(store.update_if("members/" + address, 0, value_of(address, life)));
        beliefs[address] = {{life}, status, clock.now()};
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
    std::map<std::string, member_belief> beliefs;
    std::vector<std::string> last_peers;
    std::vector<std::vector<core::departed_life>> pasts; ///< What each process was told of its past.
    std::uint64_t next_life = 50;
    std::shared_ptr<member_object_keeper> keeper;
    bool is_ticking = false; ///< The owner tells that it runs.
};

} // namespace monsoonlift::membership::tests
