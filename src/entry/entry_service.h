/// The entry: takes calls over HTTP, chooses where they run, and brings the answers back.
#pragma once

#include "configuration/types/document.h"
#include "core/clock.h"
#include "entry/caller_protocol.h"
#include "gate/nested_budgets.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "metrics/metrics_registry.h"
#include "network/acceptor.h"
#include "transport/frame_sender.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonlift::entry {

namespace internal {
class entry_state;
} // namespace internal

/// Sizes and times of an entry.
struct entry_options {
    std::string address; ///< "ip:port" for callers; port 0 lets the system choose.
    std::string data_centre;
    bool decisions_on = true;
    std::size_t body_chunk_bytes = 64 * 1024;
    std::uint32_t body_credit_chunks = 8;
    std::uint32_t head_limit_bytes = 16 * 1024;
    std::chrono::milliseconds default_patience{5'000};
    std::chrono::milliseconds idle_patience{75'000};  ///< Between two requests of one connection.
    std::chrono::milliseconds stall_patience{30'000}; ///< A body that moves no further is given up.
    std::chrono::milliseconds route_patience{300};    ///< Waited for while no backend server can be reached.
    std::uint64_t random_seed = 1;
    std::size_t retry_burst = 10; ///< Retries at once beyond the ratio of first attempts.
    std::size_t grant_burst = 10; ///< Retries that root calls in flight may hold beyond it.
    caller_protocol protocol;
};

/// Totals since the start.
struct entry_counters {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< Told not_run.
    std::uint64_t failed = 0;  ///< Told may_have_run, or ran without an answer.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t in_flight = 0; ///< Now.
};

/// The configuration in force, or nullptr while none has been adopted.
using configuration_source = std::function<std::shared_ptr<const configuration::document>()>;

/// Serves callers. Thread-safe.
class entry_service {
public:
    /// Binds the address; throws boost::system::system_error if that fails.
    entry_service(boost::asio::io_context& io, const entry_options& options, transport::frame_sender& sender,
                  gate::nested_budgets& budgets, configuration_source configuration, const core::clock& clock,
                  logging::event_log& log, metrics::metrics_registry& metrics);

    /// Serves the callers that `connections` accepts, whatever address the options name.
    entry_service(network::listening_acceptor connections, const entry_options& options,
                  transport::frame_sender& sender, gate::nested_budgets& budgets,
                  configuration_source configuration, const core::clock& clock, logging::event_log& log,
                  metrics::metrics_registry& metrics);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    /// Begins to accept connections.
    void start();

    /// The configuration's call classes, for the counters; call it from one strand.
    void set_classes(const std::vector<std::string>& names);

    /// From now on each answer says that its connection will be closed.
    void close_connections();

    /// Refuses new calls of callers; those that requests in flight here make go on.
    void refuse_roots();

    /// Accepts no more connections.
    void stop_accepting();

    /// Gives up every attempt under way; callers are told what is known of it.
    void give_up_all();

    /// Ends connections that wait for a request; the others end after their answer.
    void close_idle_connections();

    /// "ip:port" that callers use.
    [[nodiscard]] std::string address() const;

    /// A frame for the entry; the transport calls it from several threads at once.
    void received(transport::frame message);

    /// A frame of this attempt could not be sent; `begins_attempt` says whether it was the request itself.
    void unsent(const core::attempt_id& attempt, bool begins_attempt);

    /// Membership changed what it says of a member.
    void member_changed(const membership::member& changed);

    /// Counts since the start.
    [[nodiscard]] entry_counters counters() const;

private:
    std::shared_ptr<internal::entry_state> m_state;
};

} // namespace monsoonlift::entry
