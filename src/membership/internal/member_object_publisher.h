#pragma once

#include "core/clock.h"
#include "core/types/departed_incarnation.h"
#include "logging/event_log.h"
#include "membership/internal/member_object_cleaner.h"
#include "membership/types/member.h"
#include "store/object_api.h"
#include "store/scheduler.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoonlift::membership::internal {

/// Maintains this daemon's platform object `members/<transport address>`: written on joining, removed on
/// leaving, and in between written again only if another daemon has removed it or the local backend server
/// deregisters. The deregistration is stored in the object for the daemon's next process; the object then
/// isn't removed on leaving. Also lists the objects of other daemons until this daemon has joined through one
/// of them; each listing may remove one object of a daemon that is gone. Not thread-safe: used on one strand.
class member_object_publisher : public std::enable_shared_from_this<member_object_publisher> {
public:
    /// Receives the membership addresses in the objects of other daemons; empty if there are none.
    using peers_handler = std::function<void(const std::vector<std::string>&)>;

    /// Receives the deregistrations that an earlier process of this daemon recorded; empty if there are none.
    using past_handler = std::function<void(const std::vector<core::departed_incarnation>&)>;

    /// Callbacks to the owner, and its setting for the removal of objects.
    struct hooks {
        peers_handler on_peers;
        past_handler on_recorded_deregistrations; ///< Called once, when the platform has answered.
        member_object_cleaner::known_member_source find_known_member;
        std::chrono::milliseconds gone_patience = member_object_cleaner::patience;
    };

    /// `timer` runs its tasks on the strand.
    member_object_publisher(boost::asio::any_io_executor strand, store::object_api& platform,
                            store::scheduler& timer, member self, std::uint64_t random_seed,
                            const core::clock& clock, logging::event_log& log, hooks owner);

    /// Writes the object and retries until that succeeds; after the first success lists the other objects
    /// once.
    void publish();

    /// Lists the objects of other daemons after a pause that doubles with each call, up to 30 s.
    void list_again();

    /// Lists the objects of other daemons now; a failed call is repeated after a pause.
    void list();

    /// Reads this daemon's object and writes it again if it's gone, or if it isn't as written last and not of
    /// a later incarnation, as after a restore of the store; does nothing while leaving.
    void check_own();

    /// Records that this process is running; call it at least once per second.
    void note_running();

    /// Writes the backend server's deregistrations into the object and retries until that succeeds; then
    /// calls `on_recorded`, unless forget_deregistrations() was called before.
    void record_deregistrations(const std::vector<core::departed_incarnation>& deregistrations,
                                std::function<void()> on_recorded);

    /// Drops the deregistrations: a later incarnation of the backend server is running, so the daemon's next
    /// process doesn't need them. Pending `on_recorded` callbacks aren't called.
    void forget_deregistrations();

    /// Removes the object unless it holds deregistrations, and calls `done` whether or not that succeeded.
    void remove(std::function<void()> done);

    /// Ends all retries; no callback is called afterwards.
    void stop();

private:
    using departed = std::vector<core::departed_incarnation>;

    /// A caller that waits until the platform has stored these deregistrations.
    struct waiting_record {
        departed deregistrations;
        std::function<void()> on_recorded;
    };

    void begin_writing();
    void write(std::uint64_t expected_version);
    void finish_write(std::uint64_t version, const departed& stored);
    void write_failed(const core::error& failure);
    void read_version();
    void handle_own_object(const store::object& found);
    void report_past(const departed& past);
    void notify_recorded();
    void handle_listing(const store::object_list& found);
    void write_if_older(const store::object& found);
    void remove_gone_object(const std::vector<listed_member_object>& others);

    /// True if deregistrations are to be stored and the platform hasn't acknowledged them.
    [[nodiscard]] bool is_record_due() const;
    /// Timeout of the next platform call.
    [[nodiscard]] std::chrono::milliseconds patience() const;
    [[nodiscard]] std::chrono::milliseconds longest_write_pause() const;

    /// Runs `step` after a jittered pause, which doubles up to `longest` with each call.
    void after_pause(std::chrono::milliseconds& pause, std::chrono::milliseconds longest,
                     std::function<void()> step);
    template <class T, class OnValue, class OnError>
    store::object_api::handler<T> on_strand(OnValue on_value, OnError on_error);

    boost::asio::any_io_executor m_strand;
    store::object_api& m_platform;
    member m_self;
    std::mt19937_64 m_random;
    const core::clock& m_clock;
    logging::event_log& m_log;
    peers_handler m_on_peers;
    past_handler m_on_past;
    member_object_cleaner m_cleaner;
    store::scheduler& m_timer;
    std::chrono::milliseconds m_write_pause{0};
    std::chrono::milliseconds m_list_pause{0};
    std::uint64_t m_version = 0; ///< Last acknowledged version of the object; 0 before the first.
    departed m_deregistrations;  ///< Deregistrations that the object should hold.
    departed m_stored;           ///< Deregistrations in the object that the platform has acknowledged.
    std::vector<waiting_record> m_waiting;
    bool m_is_writing = false; ///< A write or its retry is in progress.
    bool m_is_past_reported = false;
    bool m_has_listed = false;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace monsoonlift::membership::internal
