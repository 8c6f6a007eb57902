#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_holder.h"
#include "configuration/follower_rules.h"
#include "configuration/peer_source.h"
#include "core/clock.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "store/object_api.h"
#include "store/scheduler.h"

namespace monsoonlift::configuration {

/// Dependencies of a configuration_follower; all must outlive it. The scheduler, the API and the peer source
/// must run their handlers one at a time (on one strand).
struct follower_parts {
    store::object_api& api;
    peer_source& peers;
    store::scheduler& timer;
    const core::clock& clock;
    const membership::member_directory& directory;
    configuration_holder& holder;
    logging::event_log& log;
};

/// Identity of the daemon that a follower belongs to.
struct follower_identity {
    std::string address; ///< Transport address, as in the member directory.
    std::string data_centre;
    std::uint64_t seed = 0; ///< Seed of the follower's random delays and peer choices.
};

/// Keeps a daemon's configuration up to date: a few daemons in each data centre watch the platform, the
/// others pull a higher revision from a peer that reported it. Must be owned by a shared_ptr.
class configuration_follower : public std::enable_shared_from_this<configuration_follower> {
public:
    configuration_follower(const follower_parts& parts, follower_identity self, const follower_rule& rule);

    /// Starts the periodic checks of the platform and the peers.
    void start();

    /// Stops the follower: it starts no further calls to the platform or to peers. Thread-safe.
    void stop();

    /// Handles a peer's report of the revision that it has in force. Thread-safe and cheap; call it for each
    /// membership message.
    void on_peer_revision(const std::string& admin_address, std::uint64_t revision);

    /// Handles a restore of the platform's store from a copy: a watcher lists before it watches again. Must
    /// be called where the API runs its handlers.
    void on_store_restored();

    /// The revision in force, as reported to peers; 0 if there is none. Thread-safe.
    [[nodiscard]] std::uint64_t current_revision() const { return m_parts.holder.revision(); }

    /// Whether the revision in force is as current as this daemon can establish: the platform has answered,
    /// or peers had `settle_time` to report a higher revision and none is outstanding. The daemon is not
    /// ready before. Thread-safe.
    [[nodiscard]] bool has_settled() const { return m_settled; }

private:
    void on_offer(const peer_offer& offer);
    void tick();
    void check_settled();
    void step();
    void check_role();
    void note_random_peer_offer();
    void list();
    void watch();
    void pull(const peer_offer& offer);
    void on_listed(std::uint64_t restores, core::result<store::object_list> answered);
    void on_changed(core::result<store::watch_result> answered);
    void on_pulled(const peer_offer& offer, core::result<std::string> answered);
    /// Returns the platform's answer; if the call failed, logs and records the failure and returns nothing.
    template <class T> std::optional<T> take_answer(core::result<T> answered);
    bool adopt(const std::string& text, const std::string& source);
    void adopt_current(const std::vector<store::object>& objects);

    follower_parts m_parts;
    follower_identity m_self;
    follower_rule m_rule;
    store::random_engine m_random;
    follower_state m_state;
    core::steady_time m_settling_since;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_settled{false};
};

} // namespace monsoonlift::configuration
