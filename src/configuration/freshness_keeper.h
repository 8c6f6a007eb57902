#pragma once

#include "configuration/configuration_holder.h"
#include "configuration/freshness_holder.h"
#include "configuration/freshness_message.h"
#include "configuration/types/freshness_state.h"
#include "core/clock.h"
#include "core/types/call_ids.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "store/backoff.h"
#include "store/object_api.h"
#include "store/scheduler.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::configuration {

/// Dependencies of a freshness_keeper; all must outlive it. Scheduler and API must run their handlers one at
/// a time (on one strand).
struct freshness_parts {
    store::object_api& api;
    store::scheduler& timer;
    const core::clock& clock;
    const membership::member_directory& directory;
    configuration_holder& holder;
    freshness_holder& proofs;
    logging::event_log& log;
    /// Sends an encoded freshness_message to another daemon; safe to call from any thread.
    std::function<void(const core::endpoint_id& to, std::string payload)> send;
    /// Tells the follower that the daemon at the transport address has a higher revision; optional.
    std::function<void(const std::string& address, std::uint64_t revision)> on_higher_revision;
};

/// Identity of the daemon that a keeper belongs to.
struct freshness_identity {
    std::string address; ///< Transport address, as in the member directory.
    std::string data_centre;
    std::uint64_t seed = 0; ///< Seed of the random delays and peer choices.
};

/// Keeps the proof that the configuration in force is recent: reads the store if this daemon is a watcher,
/// otherwise asks watchers, and answers the questions of others. Must be owned by a shared_ptr.
class freshness_keeper : public std::enable_shared_from_this<freshness_keeper> {
public:
    freshness_keeper(freshness_parts parts, freshness_identity self, const freshness_rule& rule);

    /// Starts the periodic reads and questions.
    void start();

    /// Stops the keeper: it reads and asks no more. Thread-safe.
    void stop();

    /// Records the era of an answer of the store, before the answer is passed on. Call it on the scheduler's
    /// strand.
    void note_era(std::uint64_t era);

    /// Whether the store was restored and this daemon waits for one that knows what was accepted before, so
    /// that nothing but calls that need a key has to wait. Thread-safe.
    [[nodiscard]] bool awaits_earlier_revisions() const { return m_awaits_earlier_revisions; }

    /// Handles a message of another daemon. Questions are answered at once, on any thread.
    void received(const core::endpoint_id& from, const std::string& payload);

private:
    void tick();
    void step();
    void check_role();
    void check_restore();
    void publish_knowledge();
    void ask();
    void read();
    void on_read(core::boot_time sent, core::result<store::object> answered);
    void on_answer(const core::endpoint_id& from, const freshness_answer& answer);
    void answer(const core::endpoint_id& from, const freshness_question& question) const;
    /// Returns the revision of a stored configuration, and adopts it if it is new to this keeper; 0 if it is
    /// malformed or differs from the one of that revision in force.
    [[nodiscard]] std::uint64_t take_value(std::string value);
    /// False if the revision in force has the same number and another content.
    [[nodiscard]] bool is_in_force(const stored_configuration& read) const;
    void take_proof(const freshness_proof& proof);
    void note_pending();
    void note(const freshness_proof& proof);

    freshness_parts m_parts;
    freshness_identity m_self;
    freshness_rule m_rule;
    store::random_engine m_random;
    freshness_state m_state;
    std::string m_last_value; ///< Read last, so that the same text is not parsed again.
    std::uint64_t m_last_revision = 0;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_awaits_earlier_revisions{false};
    std::atomic<std::uint64_t> m_known_era{0}; ///< As in restore_knowledge, for answers on any thread.
    std::atomic<std::uint64_t> m_accepted{0};  ///< `highest` of restore_knowledge.
};

} // namespace monsoonlift::configuration
