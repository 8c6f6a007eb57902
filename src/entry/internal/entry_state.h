#pragma once

#include "entry/entry_service.h"
#include "entry/internal/account_counts.h"
#include "entry/internal/attempt_channel.h"
#include "entry/internal/attempt_counts.h"
#include "entry/internal/call_class.h"
#include "entry/internal/call_decisions.h"
#include "entry/internal/caller_sessions.h"
#include "entry/internal/entry_events.h"
#include "entry/internal/routing_state.h"
#include "execution/home_directory.h"
#include "network/acceptor.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>

namespace monsoonlift::entry::internal {

/// State shared by the sessions of one entry, which keep it alive.
class entry_state : public std::enable_shared_from_this<entry_state> {
public:
    entry_state(network::listening_acceptor connections, const entry_options& chosen,
                transport::frame_sender& frames, gate::nested_budgets& nested, configuration_source source,
                const core::clock& time, logging::event_log& written, metrics::metrics_registry& metrics);

    void start();
    void close_connections_after_answers() { m_closing = true; }
    void refuse_root_calls() { m_refuses_roots = true; }
    void refuse_all_calls() { m_refuses_all = true; }
    void end_calls_at(core::steady_time end) { m_calls_end = end; }
    void stop_accepting();
    void close_idle_connections();
    void cancel_all_attempts();
    [[nodiscard]] std::string address() const;
    void received(transport::frame message);
    void unsent(const core::attempt_id& attempt, bool begins_attempt);
    void frame_failed(const transport::frame& message);
    void member_changed(const membership::member& changed);
    [[nodiscard]] entry_counters counters() const;

    /// Returns a number unique to the next call of this entry.
    [[nodiscard]] std::uint64_t next_call() { return m_next_call++; }

    /// Returns a number unique to the next permit of this entry.
    [[nodiscard]] std::uint64_t next_permit() { return m_next_permit++; }

    /// Routes the frames of this attempt to `channel` until close() is called.
    void open(const core::attempt_id& attempt, std::shared_ptr<attempt_channel> channel);
    void close(const core::attempt_id& attempt);

    /// Sends a frame of an attempt to its gate.
    void send(const core::attempt_id& attempt, const core::endpoint_id& gate,
              decltype(transport::frame::payload) payload);

    /// Longest time between two requests of one connection: no shorter than callers may keep one.
    [[nodiscard]] std::chrono::milliseconds idle_patience() const;

    /// Whether connections are closed after the answer to their next request.
    [[nodiscard]] bool is_closing() const { return m_closing; }

    /// Whether root calls are refused; nested calls are still served.
    [[nodiscard]] bool refuses_roots() const { return m_refuses_roots; }

    /// Whether new calls and further attempts are refused, as the process is about to end.
    [[nodiscard]] bool refuses_all() const { return m_refuses_all; }

    /// When the attempts still in flight are cancelled, as the process ends; the largest time if it doesn't.
    [[nodiscard]] core::steady_time calls_end() const { return m_calls_end; }

    const entry_options options;
    transport::frame_sender& sender;
    gate::nested_budgets& budgets;
    const configuration_source configuration;
    const core::clock& clock;
    logging::event_log& log;
    routing_state routes;
    execution::home_directory homes; ///< Homes of keys, learned from the refusals of gates.

    call_classes classes;
    account_counts accounts;
    entry_events events;
    call_decisions decisions;
    attempt_counts counts;
    caller_sessions sessions;

    std::atomic<std::uint64_t> calls = 0;
    std::atomic<std::uint64_t> answered = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> attempts = 0;
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> in_flight = 0;

private:
    using channel_pointer = std::shared_ptr<attempt_channel>;

    [[nodiscard]] channel_pointer find(const core::attempt_id& attempt) const;
    /// Whether the frame comes from the gate or from a later process at its address that reports its end.
    [[nodiscard]] static bool speaks_for(const transport::frame& message, const core::endpoint_id& gate);
    void notify_affected_attempts(const membership::member& changed);

    /// Notifies the attempts in progress whose endpoint `chosen` accepts.
    void notify_attempts(const std::function<bool(const core::endpoint_id&)>& chosen, local_event event);

    network::listening_acceptor m_acceptor;
    std::atomic<bool> m_closing = false;
    std::atomic<bool> m_refuses_roots = false;
    std::atomic<bool> m_refuses_all = false;
    std::atomic<core::steady_time> m_calls_end = core::steady_time::max();
    std::atomic<std::uint64_t> m_next_call = 1;
    std::atomic<std::uint64_t> m_next_permit = 1;

    mutable std::mutex m_channels_mutex;
    std::map<core::attempt_id, channel_pointer> m_channels;
};

} // namespace monsoonlift::entry::internal
