/// The entry: accepts calls over HTTP, chooses a gate for each, and returns the answers.
#pragma once

#include "configuration/freshness_holder.h"
#include "configuration/types/document.h"
#include "core/clock.h"
#include "entry/caller_protocol.h"
#include "entry/types/account_use.h"
#include "gate/nested_budgets.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "metrics/metrics_registry.h"
#include "network/acceptor.h"
#include "quota/token_source.h"
#include "transport/frame_sender.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace monsoonlift::entry {

namespace internal {
class entry_state;
} // namespace internal

/// Sizes, timeouts and budgets of an entry.
struct entry_options {
    std::string address; ///< "ip:port" for callers; port 0 lets the system choose.
    std::string data_centre;
    bool decisions_on = true;
    bool whole_chains = false; ///< Chains are admitted as a whole.
    std::size_t body_chunk_bytes = 64 * 1024;
    std::uint32_t body_credit_chunks = 8;
    std::uint32_t head_limit_bytes = 16 * 1024;
    std::chrono::milliseconds default_patience{5'000}; ///< Default timeout of a call.
    /// Longest time between two requests of one connection, unless the configuration lets callers keep
    /// connections for longer.
    std::chrono::milliseconds idle_patience{75'000};
    std::chrono::milliseconds head_patience{2'000};   ///< Time for the rest of a head as the wait ends.
    std::chrono::milliseconds stall_patience{30'000}; ///< A body without progress for this long is aborted.
    std::chrono::milliseconds answer_patience{5'000}; ///< Time after its deadline to read a call's answer.
    std::chrono::milliseconds route_patience{300};    ///< Longest wait for a reachable backend server.
    std::uint64_t random_seed = 1;
    /// Connections of callers that are open at once; beyond it the longest idle are closed.
    std::size_t most_connections = std::numeric_limits<std::size_t>::max();
    /// Requests of one connection that are in progress at once, if its caller sends further ones before the
    /// first is answered; 1 serves them one after another. The next head isn't read beyond it.
    std::size_t most_pipelined = 32;
    /// Bytes of answers that wait for their turn on one connection beyond which no further head is read.
    std::size_t most_held_bytes = 256 * 1024;
    std::size_t retry_burst = 10; ///< Retries allowed in a burst beyond the ratio to first attempts.
    std::size_t grant_burst = 10; ///< Retries that root calls in flight may hold beyond that ratio.
    caller_protocol protocol;
    std::shared_ptr<quota::token_source> quota; ///< Limits of accounts; nullptr for none.
    /// Proofs that the configuration is recent, without which calls that need a key are refused; may be null.
    std::shared_ptr<configuration::freshness_holder> proofs;
};

/// Totals since the start.
struct entry_counters {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< Calls that ended without an answer and with the verdict not_run.
    std::uint64_t failed = 0;  ///< Calls that ended without a complete answer after they ran or may have run.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t in_flight = 0; ///< Calls in progress at the moment, not a total.
};

/// Returns the configuration in force, or nullptr while none has been adopted.
using configuration_source = std::function<std::shared_ptr<const configuration::document>()>;

/// Serves the HTTP calls of callers. Thread-safe.
class entry_service {
public:
    /// Binds the address; throws boost::system::system_error if that fails.
    entry_service(boost::asio::io_context& io, const entry_options& options, transport::frame_sender& sender,
                  gate::nested_budgets& budgets, configuration_source configuration, const core::clock& clock,
                  logging::event_log& log, metrics::metrics_registry& metrics);

    /// Serves the callers that `connections` accepts; the address in the options is ignored.
    entry_service(network::listening_acceptor connections, const entry_options& options,
                  transport::frame_sender& sender, gate::nested_budgets& budgets,
                  configuration_source configuration, const core::clock& clock, logging::event_log& log,
                  metrics::metrics_registry& metrics);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    /// Begins to accept connections.
    void start();

    /// Sets the configuration's call classes, by which calls are counted; call it from one strand.
    void set_classes(const std::vector<std::string>& names);

    /// From now on the answer to each newly read request announces that its connection will be closed.
    void close_connections_after_answers();

    /// Refuses new root calls; nested calls, which requests in flight make, are still served.
    void refuse_root_calls();

    /// Announces when cancel_all_attempts() will be called: from now on, calls and further attempts that
    /// would likely be in flight then are refused before they are sent.
    void end_calls_at(core::steady_time end);

    /// Refuses every new call and every further attempt of those in flight: the process is about to end.
    void refuse_all_calls();

    /// Stops accepting connections.
    void stop_accepting();

    /// Cancels every attempt in flight; callers receive the verdict as far as it is known.
    void cancel_all_attempts();

    /// Closes idle connections; the others are closed after their answer.
    void close_idle_connections();

    /// "ip:port" at which callers connect.
    [[nodiscard]] std::string address() const;

    /// Handles a frame addressed to the entry; the transport calls it from several threads at once.
    void received(transport::frame message);

    /// Reports that a frame of this attempt could not be sent; `begins_attempt` is true if it was the frame
    /// with the request's head.
    void unsent(const core::attempt_id& attempt, bool begins_attempt);

    /// Ends the attempt of a frame for the entry whose handling an internal error ended.
    void failed(const transport::frame& message);

    /// Reports that the membership record of a member changed.
    void member_changed(const membership::member& changed);

    /// Totals since the start of the entry.
    [[nodiscard]] entry_counters counters() const;

    /// Returns what each client account did at this entry, for a bounded number of accounts and "other".
    [[nodiscard]] std::vector<account_use> account_uses() const;

private:
    std::shared_ptr<internal::entry_state> m_state;
};

} // namespace monsoonlift::entry
