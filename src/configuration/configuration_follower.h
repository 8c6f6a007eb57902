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

/// All that a follower needs; everything outlives it. The scheduler, the API and the peers run their
/// handlers one at a time (on one strand).
struct follower_parts {
    store::object_api& api;
    peer_source& peers;
    store::scheduler& timer;
    const core::clock& clock;
    const membership::member_directory& directory;
    configuration_holder& holder;
    logging::event_log& log;
};

/// Who this daemon is.
struct follower_identity {
    std::string address; ///< Its transport address, as in the directory.
    std::string data_centre;
    std::uint64_t seed = 0;
};

/// Keeps a daemon's configuration up to date: a few daemons in each data centre watch the platform, the
/// others pull a higher revision from the peer that spoke of it. Keep it in a shared_ptr.
class configuration_follower : public std::enable_shared_from_this<configuration_follower> {
public:
    configuration_follower(const follower_parts& parts, follower_identity self, const follower_rule& rule);

    /// Begins to follow.
    void start();

    /// Makes no further call. Thread-safe.
    void stop();

    /// A peer said which revision it has. Thread-safe and cheap; call it for each membership message.
    void on_peer_revision(const std::string& admin_address, std::uint64_t revision);

    /// The revision to tell peers. Thread-safe.
    [[nodiscard]] std::uint64_t current_revision() const { return m_parts.holder.revision(); }

    /// Whether the revision in force is the best that can be known: the platform has answered, or peers have
    /// had the time to speak of a higher one. A daemon is not ready before. Thread-safe.
    [[nodiscard]] bool has_settled() const { return m_settled; }

private:
    void on_offer(const peer_offer& offer);
    void tick();
    void check_settled();
    void step();
    void check_role();
    void look_for_any_peer();
    void list();
    void watch();
    void pull(const peer_offer& offer);
    void on_listed(core::result<store::object_list> answered);
    void on_changed(core::result<store::watch_result> answered);
    void on_pulled(const peer_offer& offer, core::result<std::string> answered);
    /// The store's answer; none, with the failure recorded, if it failed.
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
