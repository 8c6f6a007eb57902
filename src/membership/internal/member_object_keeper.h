#pragma once

#include "core/clock.h"
#include "logging/event_log.h"
#include "membership/internal/member_object_cleaner.h"
#include "membership/types/member.h"
#include "store/object_api.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace monsoonlift::membership::internal {

/// This daemon's object `members/<transport address>`: written on joining, removed on leaving, and in between
/// written again only if another daemon has removed it. The objects of the others are listed until one of
/// them has answered; each listing may remove one of a daemon that is gone. Not thread-safe: used on one
/// strand.
class member_object_keeper : public std::enable_shared_from_this<member_object_keeper> {
public:
    /// Gives the membership addresses of the other objects; empty if there are none.
    using peers_handler = std::function<void(const std::vector<std::string>&)>;

    /// What the keeper tells and asks its owner.
    struct hooks {
        peers_handler on_peers;
        member_object_cleaner::belief_source belief;
        std::chrono::milliseconds gone_patience = member_object_cleaner::patience;
    };

    member_object_keeper(boost::asio::any_io_executor strand, store::object_api& platform, member self,
                         std::uint64_t random_seed, const core::clock& clock, logging::event_log& log,
                         hooks owner);

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

    /// Removes the object and calls `done`, whether it worked or not.
    void remove(std::function<void()> done);

    /// Ends all repetition.
    void stop();

private:
    void write(std::uint64_t expected_version);
    void written(std::uint64_t version);
    void write_failed(const core::error& failure);
    void read_version();
    void take_list(const store::object_list& found);
    void remove_one(const std::vector<listed_member_object>& others);
    void after_pause(std::function<void()> step);
    template <class T, class OnValue, class OnError>
    store::object_api::handler<T> on_strand(OnValue on_value, OnError on_error);

    boost::asio::any_io_executor m_strand;
    store::object_api& m_platform;
    member m_self;
    std::mt19937_64 m_random;
    const core::clock& m_clock;
    logging::event_log& m_log;
    peers_handler m_on_peers;
    member_object_cleaner m_cleaner;
    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_pause{0};
    std::uint64_t m_version = 0;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace monsoonlift::membership::internal
