#include "app/monsoonliftd/daemon.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <set>
#include <stdexcept>

using namespace monsoonlift;
using logging::event_id;

namespace {

/// Throws at each of these events. For daemons with one worker.
class failing_log final : public logging::event_log {
public:
    explicit failing_log(std::set<event_id> failing) : m_failing(std::move(failing)) {}

    void write(event_id id, std::initializer_list<logging::field>) override {
        ++tried[id];
        if (m_failing.contains(id)) {
            throw std::runtime_error("no memory left");
        }
    }

    std::map<event_id, int> tried;

private:
    std::set<event_id> m_failing;
};

settings::daemon_settings loopback_settings() {
    settings::daemon_settings chosen;
    chosen.fleet = "sicily";
    chosen.name = "vm-1";
    chosen.data_centre = "palermo";
    chosen.caller_address = "127.0.0.1:0";
    chosen.admin_address = "127.0.0.1:0";
    chosen.transport_address = "127.0.0.1:0";
    chosen.membership_address = "127.0.0.1:0";
    chosen.platform_address = "127.0.0.1:1";
    chosen.workers = 1;
    return chosen;
}

settings::deployment_settings loopback_deployment() {
    settings::deployment_settings chosen;
    chosen.service = "squadre";
    chosen.backend_address = "127.0.0.1:1";
    chosen.heartbeat_address = "127.0.0.1:0";
    chosen.ready_address = "127.0.0.1:0";
    return chosen;
}

} // namespace

TEST_CASE("a planned stop doesn't end after steps that throw", "[daemon]") {
    auto chosen = loopback_settings();
    if (GENERATE(false, true)) {
        chosen.deployment = loopback_deployment();
    }
    failing_log log({event_id::process_stopping, event_id::drain_started, event_id::drain_finished,
                     event_id::process_stopped, event_id::handler_failed});
    app::daemon stopping(
        chosen, [] { return std::nullopt; }, log);
    stopping.start();
    REQUIRE(std::raise(SIGTERM) == 0);
    CHECK_FALSE(stopping.run());
    CHECK(log.tried[event_id::drain_finished] == 1);
    CHECK(log.tried[event_id::process_stopped] == 1);
    CHECK(log.tried[event_id::handler_failed] > 0);
}
