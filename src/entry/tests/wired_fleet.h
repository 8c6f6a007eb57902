#pragma once

#include "core/system_clock.h"
#include "entry/entry_service.h"
#include "entry/tests/faulty_frame_sender.h"
#include "entry/tests/loopback_backend.h"
#include "execution/crash_guard.h"
#include "execution/execution_ledger.h"
#include "gate/gate_service.h"
#include "metrics/metrics_registry.h"
#include "testing/failing_log.h"
#include "transport/tcp_transport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonlift::entry::testing {

/// Connections of callers that an entry keeps open at once.
constexpr std::size_t most_callers = 128;

/// Makes the acceptor for an entry's callers.
using acceptor_maker = std::function<network::listening_acceptor(boost::asio::io_context&)>;

/// A request to send to an entry.
struct caller_request {
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key;      ///< Value of Idempotency-Key; empty to omit the field.
    bool chunked = false; ///< The body is sent in chunks, without Content-Length.
    std::chrono::milliseconds patience{5000};
};

/// The result of a call.
struct caller_answer {
    bool whole = false; ///< A complete HTTP response arrived.
    bool timed_out = false;
    unsigned status = 0;
    std::string verdict;
    std::string backend; ///< Name of the backend server, from its X-Backend field.
    std::string body;
};

/// Entry, gate, transport and backend server of one VM.
class wired_daemon {
public:
    wired_daemon(boost::asio::io_context& io, const std::string& name, core::incarnation life,
                 std::shared_ptr<const configuration::document> rules, const frame_faults& faults,
                 const entry_options& options, const acceptor_maker& make_acceptor);

    [[nodiscard]] core::endpoint_id id() const { return m_transport.self(); }
    [[nodiscard]] std::string caller_address() const { return m_entry.address(); }
    [[nodiscard]] faulty_frame_sender& frames() { return m_frames; }
    [[nodiscard]] loopback_backend& backend() { return m_backend; }
    [[nodiscard]] execution::execution_ledger& ledger() { return m_ledger; }
    [[nodiscard]] entry_service& entry() { return m_entry; }
    [[nodiscard]] monsoonlift::testing::failing_log& log() { return m_log; }
    [[nodiscard]] transport::transport_counters totals() const { return m_transport.counters(); }
    [[nodiscard]] gate::gate_counters gate_totals() const { return m_gate.counters(); }
    [[nodiscard]] routing::load_report gate_load() const { return m_gate.report(); }

    /// Makes the handling of a frame throw: the `frame`-th that arrives from now on, counted from 1.
    void fail_frame(std::uint64_t frame) { m_frame_to_fail = frame; }

    /// Whether the handling of a frame has thrown.
    [[nodiscard]] bool has_failed_frame() const { return m_has_failed_frame; }

    /// Announces the backend server to the gate.
    void announce();

private:
    std::uint64_t m_frame_to_fail = 0;
    bool m_has_failed_frame = false;
    core::system_clock m_clock;
    monsoonlift::testing::failing_log m_log;
    metrics::metrics_registry m_metrics;
    loopback_backend m_backend;
    transport::tcp_transport m_transport;
    faulty_frame_sender m_frames;
    execution::execution_ledger m_ledger;
    execution::crash_guard m_crashes;
    gate::nested_budgets m_budgets;
    gate::gate_service m_gate;
    entry_service m_entry;
};

/// Two daemons that are members of each other's fleet, connected by the real transport, on one thread.
class wired_fleet {
public:
    wired_fleet(const frame_faults& faults, std::uint64_t seed);

    /// `make_acceptor` makes the acceptor of each entry.
    wired_fleet(const frame_faults& faults, std::uint64_t seed, const acceptor_maker& make_acceptor);

    /// `adjust` changes the options of each entry.
    wired_fleet(const frame_faults& faults, std::uint64_t seed,
                const std::function<void(entry_options&)>& adjust);

    [[nodiscard]] boost::asio::io_context& io() { return m_io; }
    [[nodiscard]] wired_daemon& daemon(std::size_t index) { return *m_daemons[index]; }

    /// The configuration of both daemons, kept alive by their entries and calls.
    [[nodiscard]] std::weak_ptr<const configuration::document> rules() const { return m_rules; }

    /// Changes the configuration of both daemons.
    void change_rules(const std::function<void(configuration::document&)>& change) {
        change(*m_rules.lock());
    }

    /// Makes a call through an entry and passes its result to `done`.
    void call(std::size_t entry, caller_request request, std::function<void(caller_answer)> done);

    /// Runs the handlers that are ready, without waiting.
    void run_ready() { m_io.poll(); }

    /// Runs until `reached` returns true; returns false if it doesn't within 60 s. Goes on after an
    /// injected failure that leaves a handler, as the daemon does.
    bool run_until(const std::function<bool()>& reached);

    /// Runs until no frame is in transit and no gate has work; returns false if that takes over 60 s.
    bool settle();

    /// Number of runs of a POST target at all backend servers.
    [[nodiscard]] std::uint64_t runs(const std::string& target) const;

    /// Number of handlers that an exception has left.
    [[nodiscard]] unsigned handlers_failed() const { return m_handlers_failed; }

    /// Number of faults injected by all senders.
    [[nodiscard]] std::uint64_t injected() const;

private:
    wired_fleet(const frame_faults& faults, std::uint64_t seed, const acceptor_maker& make_acceptor,
                const std::function<void(entry_options&)>& adjust);

    [[nodiscard]] bool is_settled() const;
    void connect_members();

    boost::asio::io_context m_io;
    unsigned m_handlers_failed = 0;
    std::weak_ptr<configuration::document> m_rules;
    std::vector<std::unique_ptr<wired_daemon>> m_daemons;
};

} // namespace monsoonlift::entry::testing
