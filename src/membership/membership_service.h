/// Runs the membership protocol on a UDP socket and keeps the member directory up to date.
///
/// A daemon binds its transport socket first, then starts this service with its own record, and afterwards
/// reports state changes of its local backend server and of itself: announce(), withdraw(), drain(), leave().
#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/types/departed_incarnation.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "membership/swim.h"
#include "store/object_api.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::membership {

namespace internal {
class membership_runtime;
} // namespace internal

/// Options of membership_service.
struct membership_options {
    std::string fleet; ///< Datagrams of other fleets are ignored; at most max_fleet_bytes long.
    member self; ///< Addresses at which peers reach this daemon; the membership address may have port 0.
    std::vector<std::string> seed_peers; ///< Membership addresses of peers contacted to join.
    swim_limits limits;
    std::uint64_t random_seed = 0;
    std::chrono::milliseconds tick_interval{100};
    std::chrono::milliseconds backend_patience{3000}; ///< Heartbeat timeout of the backend server.
    /// Delay between a report that peers consider this daemon dead and the check that its platform object
    /// still exists: random, between this value and 4 times it.
    std::chrono::milliseconds object_check_pause{10'000};
    /// How long a daemon must have been dead or left before its platform object is removed.
    std::chrono::milliseconds gone_object_patience{300'000};
};

/// Callbacks to the owner of the service. All are called on the service's strand.
struct membership_hooks {
    /// Returns the revision of the configuration that this daemon has adopted.
    std::function<std::uint64_t()> own_revision;
    /// A peer has a later configuration revision; its /configuration is at this admin address.
    std::function<void(const std::string& admin_address, std::uint64_t revision)> on_peer_revision;
    /// Peers know a later incarnation at this daemon's address; called once. Its record tells whether it was
    /// this daemon's predecessor or is another process.
    std::function<void(const member& later)> on_superseded;
    /// Called once for each rumor, whether spread by another daemon or by this one.
    std::function<void(const rumor&)> on_rumor;
    /// Passes the backend server deregistrations that an earlier process of this daemon recorded; empty if
    /// there are none. Called once, when the platform has answered, or at the start without a platform.
    std::function<void(const std::vector<core::departed_incarnation>&)> on_recorded_deregistrations;
};

/// Bytes of datagrams, including their IP and UDP headers.
struct datagram_traffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Membership of one daemon. Every method may be called from any thread.
class membership_service {
public:
    /// `platform` may be null; peers then come from the settings alone.
    membership_service(boost::asio::any_io_executor executor, const core::clock& clock,
                       member_directory& directory, logging::event_log& log, store::object_api* platform,
                       membership_options options, membership_hooks hooks);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Binds the socket and starts to join the fleet.
    [[nodiscard]] core::result<void> start();

    /// "ip:port" of the bound socket; valid after start().
    [[nodiscard]] std::string bound_address() const;

    /// True once the member table has been fetched from a peer, or this daemon is the first of its fleet.
    [[nodiscard]] bool joined() const;

    /// Datagram bytes sent and received since the start.
    [[nodiscard]] datagram_traffic traffic() const;

    /// Records that the local backend server is up and serves `service`; each heartbeat calls it again.
    void announce(std::string service);

    /// Records that the local backend server is gone: this daemon's record no longer names a service.
    void withdraw();

    /// Stores the backend server's deregistrations in this daemon's platform object for the daemon's next
    /// process. `on_recorded` is called on the service's strand once the platform has stored them, and never
    /// if forget_deregistrations() is called before that; without a platform it's called at once.
    void record_deregistrations(std::vector<core::departed_incarnation> deregistrations,
                                std::function<void()> on_recorded);

    /// Drops the recorded deregistrations because a later incarnation of the backend server is running.
    void forget_deregistrations();

    /// Marks this daemon as taking no new work and notifies peers at once.
    void drain();

    /// Leaves the fleet for good: notifies peers, removes this daemon's platform object unless it holds
    /// deregistrations, then calls `done`.
    void leave(std::function<void()> done);

    /// Sends a rumor to every member; each member passes it to on_rumor once.
    void spread(rumor rumor_to_spread);

    /// Checks at a random time within `longest` that this daemon's platform object is as it was written last,
    /// and otherwise writes it again.
    void check_object_within(std::chrono::milliseconds longest);

    /// Cancels the timers and closes the socket; no hook is called afterwards.
    void stop();

private:
    std::shared_ptr<internal::membership_runtime> m_runtime;
};

} // namespace monsoonlift::membership
