#include "entry/tests/wired_fleet.h"

#include "gate/misdirected_request.h"
#include "testing/injected_failure.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace monsoonlift::entry::testing {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds longest_wait = 30s;
constexpr std::chrono::milliseconds step = 5ms;
constexpr std::uint32_t slots = 64;

/// Upper limit of the timeouts that requests name.
constexpr std::chrono::milliseconds longest_patience = 2min;
constexpr char service[] = "mappa";

std::shared_ptr<configuration::document> make_rules() {
    auto rules = std::make_shared<configuration::document>();
    rules->data_centres = {"palermo"};
    rules->classes = {"urgent"};
    configuration::service_rule mappa;
    mappa.name = service;
    mappa.calls = {{"answer", "GET", "/answer", "urgent", 0, true, longest_patience},
                   {"effect", "POST", "/effect", "urgent", 0, false, longest_patience}};
    rules->services = {mappa};
    return rules;
}

gate::gate_options make_gate_options() {
    gate::gate_options options;
    // NOTE: the tests are about frame faults, so no call may be shed because the machine is busy.
    options.decisions_on = false;
    options.backend_silence_timeout = longest_wait * 4;
    return options;
}

entry_options make_entry_options(std::uint64_t seed) {
    entry_options options;
    options.data_centre = "palermo";
    options.route_patience = longest_wait;
    options.random_seed = seed;
    options.most_connections = most_callers;
    return options;
}

network::listening_acceptor listen_on_loopback(boost::asio::io_context& io) {
    static const core::system_clock clock;
    return network::listen(io, {boost::asio::ip::address_v4::loopback(), 0}, clock);
}

boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    return {boost::asio::ip::address_v4::loopback(), port};
}

http::request<http::string_body> message_of(const caller_request& request) {
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set("Monsoonlift-Service", service);
    message.set("Monsoonlift-Timeout-Ms", std::to_string(request.patience.count()));
    if (!request.key.empty()) {
        message.set("Idempotency-Key", request.key);
    }
    message.body() = request.body;
    message.prepare_payload();
    if (request.chunked) {
        message.chunked(true);
    }
    return message;
}

boost::asio::awaitable<caller_answer> make_call(boost::asio::ip::tcp::endpoint entry,
                                                caller_request request) {
    boost::beast::tcp_stream stream(co_await boost::asio::this_coro::executor);
    stream.expires_after(longest_wait);
    boost::system::error_code failure;
    co_await stream.async_connect(entry, boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    const auto message = message_of(request);
    if (!failure) {
        // NOTE: an entry may answer before it has read the complete request, so a failed write is ignored.
        co_await http::async_write(stream, message,
                                   boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::beast::flat_buffer buffer;
    co_await http::async_read(stream, buffer, parser,
                              boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    caller_answer answer;
    answer.timed_out = failure == boost::beast::error::timeout;
    answer.whole = !failure;
    answer.status = parser.get().result_int();
    answer.verdict = std::string(parser.get()["Monsoonlift-Verdict"]);
    answer.backend = std::string(parser.get()["X-Backend"]);
    answer.body = parser.get().body();
    co_return answer;
}

} // namespace

wired_daemon::wired_daemon(boost::asio::io_context& io, const std::string& name, core::incarnation life,
                           std::shared_ptr<const configuration::document> rules, const frame_faults& faults,
                           const entry_options& options, const acceptor_maker& make_acceptor)
    : m_backend(io, name), m_transport(io, {"127.0.0.1:0", {}, {}}, life, m_clock, m_log),
      m_frames(io.get_executor(), m_transport, faults, options.random_seed),
      m_ledger(m_clock, m_transport.self(), {}),
      m_crashes(m_clock, m_transport.self(), {}, m_log, [](std::uint32_t, const std::string&) {}),
      m_gate(io, make_gate_options(), m_frames, m_ledger, m_crashes, m_budgets, m_clock, m_log, m_metrics),
      m_entry(
          make_acceptor(io), options, m_frames, m_budgets, [rules] { return rules; }, m_clock, m_log,
          m_metrics) {
    m_transport.start({[this](transport::frame message) {
                           if (m_frame_to_fail > 0 && --m_frame_to_fail == 0) {
                               m_has_failed_frame = true;
                               throw monsoonlift::testing::injected_failure("the frame is to fail");
                           }
                           if (message.target == transport::frame_target::gate) {
                               m_gate.received(std::move(message));
                           } else {
                               m_entry.received(std::move(message));
                           }
                       },
                       [this](const transport::unsent_frame& unsent) {
                           if (unsent.from == transport::frame_target::gate) {
                               m_gate.unsent(unsent.attempt);
                           } else {
                               m_entry.unsent(unsent.attempt, unsent.begins_attempt);
                           }
                       },
                       [this](const transport::unsent_frame& cut) {
                           if (cut.from == transport::frame_target::gate) {
                               m_gate.unsent(cut.attempt);
                           } else {
                               m_entry.unsent(cut.attempt, false);
                           }
                       },
                       [this](const transport::frame& message) {
                           const auto refusal =
                               gate::refuse_misdirected(message, m_transport.self(), m_clock.now());
                           if (refusal) {
                               m_transport.send(refusal->to, refusal->message);
                           }
                       },
                       [this](const transport::frame& message) {
                           if (message.target == transport::frame_target::gate) {
                               m_gate.failed(message);
                           } else {
                               m_entry.failed(message);
                           }
                       }});
    m_gate.start();
    m_entry.start();
}

void wired_daemon::announce() {
    m_gate.announce({service, m_backend.address(), slots, slots});
}

wired_fleet::wired_fleet(const frame_faults& faults, std::uint64_t seed,
                         const std::function<void(entry_options&)>& adjust)
    : wired_fleet(faults, seed, listen_on_loopback, adjust) {}

wired_fleet::wired_fleet(const frame_faults& faults, std::uint64_t seed)
    : wired_fleet(faults, seed, listen_on_loopback) {}

wired_fleet::wired_fleet(const frame_faults& faults, std::uint64_t seed, const acceptor_maker& make_acceptor)
    : wired_fleet(faults, seed, make_acceptor, [](entry_options&) {}) {}

wired_fleet::wired_fleet(const frame_faults& faults, std::uint64_t seed, const acceptor_maker& make_acceptor,
                         const std::function<void(entry_options&)>& adjust) {
    const auto rules = make_rules();
    m_rules = rules;
    const std::string names[] = {"east", "west"};
    for (std::uint64_t index = 0; index < std::size(names); ++index) {
        const core::incarnation life{index + 1};
        auto options = make_entry_options(seed * 2 + index);
        adjust(options);
        m_daemons.push_back(
            std::make_unique<wired_daemon>(m_io, names[index], life, rules, faults, options, make_acceptor));
    }
    connect_members();
}

void wired_fleet::connect_members() {
    execution::home_table homes;
    homes.version = 1;
    for (std::size_t slot = 0; slot < homes.slots.size(); ++slot) {
        homes.slots[slot].holder = m_daemons[slot % m_daemons.size()]->id();
    }
    for (const auto& member_daemon : m_daemons) {
        auto& one = *member_daemon;
        one.frames().set_daemons({m_daemons.front()->id(), m_daemons.back()->id()});
        one.ledger().adopt_homes(homes);
        for (const auto& peer : m_daemons) {
            membership::member known;
            known.id = peer->id();
            known.service = service;
            known.data_centre = "palermo";
            one.entry().member_changed(known);
        }
    }
}

void wired_fleet::call(std::size_t entry, caller_request request, std::function<void(caller_answer)> done) {
    boost::asio::co_spawn(m_io, make_call(endpoint_of(daemon(entry).caller_address()), std::move(request)),
                          [done = std::move(done)](const std::exception_ptr& failure, caller_answer answer) {
                              done(failure ? caller_answer() : std::move(answer));
                          });
}

bool wired_fleet::run_until(const std::function<bool()>& reached) {
    const auto end = std::chrono::steady_clock::now() + longest_wait * 2;
    while (!reached() && std::chrono::steady_clock::now() < end) {
        try {
            m_io.run_one_for(step);
        } catch (const monsoonlift::testing::injected_failure&) {
            ++m_handlers_failed;
        }
    }
    return reached();
}

bool wired_fleet::settle() {
    return run_until([this] { return is_settled(); });
}

bool wired_fleet::is_settled() const {
    std::uint64_t passed = 0;
    std::uint64_t ended = 0;
    for (const auto& one : m_daemons) {
        const auto totals = one->totals();
        passed += one->frames().passed();
        ended += totals.received + totals.unsent;
        const auto in_flight = one->gate_totals().in_flight + one->entry().counters().in_flight;
        if (one->frames().pending() > 0 || in_flight > 0) {
            return false;
        }
    }
    return ended >= passed;
}

std::uint64_t wired_fleet::runs(const std::string& target) const {
    std::uint64_t total = 0;
    for (const auto& one : m_daemons) {
        const auto found = one->backend().runs().find(target);
        total += found == one->backend().runs().end() ? 0 : found->second;
    }
    return total;
}

std::uint64_t wired_fleet::injected() const {
    return std::accumulate(m_daemons.begin(), m_daemons.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& one) { return sum + one->frames().injected(); });
}

} // namespace monsoonlift::entry::testing
