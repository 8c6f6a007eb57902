/// Runs the membership rules on a UDP socket and keeps the member directory up to date.
///
/// A daemon binds its transport socket first, then starts this service with its own record, and afterwards
/// reports what its local backend server says: announce(), withdraw(), drain(), leave().
#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/types/departed_life.h"
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

/// What the service is started with.
struct membership_options {
    std::string fleet; ///< Datagrams of another fleet are not listened to; at most max_fleet_bytes.
    member self;       ///< Addresses as peers reach them; the membership address may have port 0.
    std::vector<std::string> seed_peers; ///< Membership addresses to join by.
    swim_limits limits;
    std::uint64_t random_seed = 0;
    std::chrono::milliseconds tick_interval{100};
    std::chrono::milliseconds backend_patience{3000}; ///< Silence after which the backend server is gone.
    /// From hearing that others took this daemon for dead to a look at its object: this, or up to 4 times it.
    std::chrono::milliseconds object_check_pause{10'000};
    /// How long a daemon must have been gone before its object is removed.
    std::chrono::milliseconds gone_object_patience{300'000};
};

/// What the service asks of and tells its owner. All are called on the service's strand.
struct membership_hooks {
    /// Revision of the adopted configuration.
    std::function<std::uint64_t()> own_revision;
    /// A peer has a later configuration revision; its /configuration is at this admin address.
    std::function<void(const std::string& admin_address, std::uint64_t revision)> on_peer_revision;
    /// Another process with a later incarnation has this daemon's address: stop serving.
    std::function<void()> on_superseded;
    /// A rumor of another daemon or of this one; each comes once.
    std::function<void(const rumor&)> on_rumor;
    /// The backend server's farewell that an earlier process of this daemon recorded, or that there is none;
    /// called once, when the platform has told.
    std::function<void(const std::vector<core::departed_life>&)> on_past;
};

/// Bytes of datagrams with their IP and UDP headers.
struct datagram_traffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Membership of one daemon. Every method may be called from any thread.
class membership_service {
public:
    /// `platform` may be null: then peers come from the settings alone.
    membership_service(boost::asio::any_io_executor executor, const core::clock& clock,
                       member_directory& directory, logging::event_log& log, store::object_api* platform,
                       membership_options options, membership_hooks hooks);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Binds the socket and begins to join.
    [[nodiscard]] core::result<void> start();

    /// "ip:port" of the bound socket; valid after start().
    [[nodiscard]] std::string bound_address() const;

    /// True once the member table has been fetched from a peer, or this daemon is the first of its fleet.
    [[nodiscard]] bool joined() const;

    /// Bytes of datagrams since the start.
    [[nodiscard]] datagram_traffic traffic() const;

    /// The local backend server says that it is up; repeated as its heartbeat.
    void announce(std::string service);

    /// The local backend server leaves.
    void withdraw();

    /// Keeps the backend server's farewell where the next process of this daemon finds it; `kept` is called
    /// once the platform holds it, on the service's strand, and never if a later life is at work before.
    void record_farewells(std::vector<core::departed_life> left, std::function<void()> kept);

    /// A later life of the backend server is at work.
    void forget_farewells();

    /// This daemon takes no new work; peers are told at once.
    void drain();

    /// This daemon leaves for good: peers are told, its platform object is removed, then `done` is called.
    void leave(std::function<void()> done);

    /// Tells every member once.
    void spread(rumor told);

    /// Ends timers and socket; no hook is called afterwards.
    void stop();

private:
    std::shared_ptr<internal::membership_runtime> m_runtime;
};

} // namespace monsoonlift::membership
