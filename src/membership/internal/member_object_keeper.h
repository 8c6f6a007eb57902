#pragma once

#include "core/clock.h"
#include "core/types/departed_life.h"
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

/// This daemon's object `members/<transport address>`: written on joining, removed on leaving, and in between
/// written again only if another daemon has removed it or the backend server beside it leaves. That farewell
/// stands in it for the daemon's next process, and then the object stays on leaving too. The objects of the
/// others are listed until one of them has answered; each listing may remove one of a daemon that is gone.
/// Not thread-safe: used on one strand.
class member_object_keeper : public std::enable_shared_from_this<member_object_keeper> {
public:
    /// Gives the membership addresses of the other objects; empty if there are none.
    using peers_handler = std::function<void(const std::vector<std::string>&)>;

    /// Gives the farewell that an earlier process of this daemon recorded, if there is one.
    using past_handler = std::function<void(const std::vector<core::departed_life>&)>;

    /// What the keeper tells and asks its owner.
    struct hooks {
        peers_handler on_peers;
        past_handler on_past; ///< Called once, when the platform has told.
        member_object_cleaner::belief_source belief;
        std::chrono::milliseconds gone_patience = member_object_cleaner::patience;
    };

    /// `timer` runs its tasks on the strand.
    member_object_keeper(boost::asio::any_io_executor strand, store::object_api& platform,
                         store::scheduler& timer, member self, std::uint64_t random_seed,
                         const core::clock& clock, logging::event_log& log, hooks owner);

    /// Writes the object, then lists the others; both are repeated until they succeed.
    void publish();

    /// Lists the others once more, after a pause that grows.
    void list_again();

    /// Lists the others once.
    void list();

    /// Reads the own object and writes it again if it is gone.
    void check_own();

    /// Tells that this process runs; call it every second at least.
    void awake();

    /// Writes the farewell of the backend server into the object until that has succeeded; then `kept` is
    /// called.
    void record_farewells(const std::vector<core::departed_life>& left, std::function<void()> kept);

    /// A later life of the backend server is at work: the farewell need not outlive this process.
    void forget_farewells();

    /// Removes the object unless it holds a farewell, and calls `done`, whether it worked or not.
    void remove(std::function<void()> done);

    /// Ends all repetition.
    void stop();

private:
    using departed = std::vector<core::departed_life>;

    /// Somebody waits until the platform holds that farewell.
    struct waiting_record {
        departed left;
        std::function<void()> kept;
    };

    void begin_writing();
    void write(std::uint64_t expected_version);
    void written(std::uint64_t version, const departed& held);
    void write_failed(const core::error& failure);
    void read_version();
    void take_own(const store::object& found);
    void tell_past(const departed& past);
    void tell_kept();
    void take_list(const store::object_list& found);
    void remove_one(const std::vector<listed_member_object>& others);

    /// A farewell is to stand in the object and, as far as is known, doesn't.
    [[nodiscard]] bool is_record_due() const;
    [[nodiscard]] std::chrono::milliseconds patience() const;
    [[nodiscard]] std::chrono::milliseconds longest_write_pause() const;

    /// Runs `step` after a pause, which doubles up to `longest` with each failure.
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
    std::uint64_t m_version = 0;
    departed m_farewells; ///< To stand in the object.
    departed m_held;      ///< Stands in the object, as the platform has acknowledged.
    std::vector<waiting_record> m_waiting;
    bool m_is_writing = false; ///< Until the object is as it should be.
    bool m_is_past_told = false;
    bool m_has_listed = false;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace monsoonlift::membership::internal
