#include "tools/internal/load_worker.h"

#include "tools/answer_check.h"
#include "tools/content.h"
#include "tools/digest.h"
#include "tools/network_address.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace monsoonlift::tools::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using steady_time = std::chrono::steady_clock::time_point;

namespace {

constexpr std::uint64_t max_answer_bytes = 300ULL * 1024 * 1024;

asio::ip::tcp::endpoint address_or_throw(const std::string& text) {
    return core::settle([&] { return parse_address(text); },
                        [](asio::ip::tcp::endpoint address) { return address; },
                        [](const core::error& failure) -> asio::ip::tcp::endpoint {
                            throw std::invalid_argument(failure.message);
                        });
}

attempt_end end_of_status(http::status status) {
    if (status == http::status::ok) {
        return attempt_end::whole;
    }
    return status == http::status::too_many_requests ? attempt_end::shed : attempt_end::failed;
}

bool ends_call(const attempt_report& report) {
    return report.end == attempt_end::whole || report.end == attempt_end::wrong;
}

} // namespace

/// State of a call, kept across its attempts.
struct load_worker::call_state {
    std::size_t class_index = 0;
    std::string target;
    std::string token;
    std::string key;
    steady_time deadline; ///< Deadline of the current attempt.
};

load_worker::load_worker(const scenario& run, std::size_t index, steady_time start, call_observer observer)
    : m_run(run), m_index(index), m_start(start), m_observer(std::move(observer)), m_context(1),
      m_random(run.seed * 1000003 + index), m_next_target(run.classes.size(), index),
      m_results(run.classes.size()) {
    for (const auto& one : run.classes) {
        m_bodies.push_back(make_content(content_seed(one.name), one.body_bytes));
        m_body_digests.push_back(digest_of(m_bodies.back()));
        for (const auto& target : one.targets) {
            m_pools.try_emplace(target, m_context, address_or_throw(target), run.connections);
        }
    }
}

void load_worker::run() {
    for (std::size_t i = 0; i < m_run.classes.size(); ++i) {
        asio::co_spawn(m_context, generate(i), asio::detached);
    }
    auto end = m_start + m_run.linger;
    for (const auto& one : m_run.phases) {
        end += one.duration;
    }
    m_context.run_until(end);
}

asio::awaitable<void> load_worker::generate(std::size_t class_index) {
    const call_class& traffic = m_run.classes[class_index];
    std::mt19937_64 random(m_run.seed * 7919 + m_index * 104729 + class_index);
    steady_time phase_start = m_start;
    for (std::size_t i = 0; i < m_run.phases.size(); ++i) {
        const steady_time phase_end = phase_start + m_run.phases[i].duration;
        const double rate = traffic.rates[i] / static_cast<double>(m_run.threads);
        std::exponential_distribution<double> gap(rate > 0 ? rate : 1);
        steady_time next = phase_start;
        while (rate > 0) {
            next +=
                std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(gap(random)));
            if (next >= phase_end) {
                break;
            }
            co_await wait_until(next);
            asio::co_spawn(m_context, make_call(class_index, next), asio::detached);
        }
        co_await wait_until(phase_end);
        phase_start = phase_end;
    }
}

asio::awaitable<void> load_worker::wait_until(steady_time time) {
    if (time <= std::chrono::steady_clock::now()) {
        co_return;
    }
    asio::steady_timer timer(m_context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> load_worker::make_call(std::size_t class_index, steady_time intended) {
    const call_class& traffic = m_run.classes[class_index];
    call_state call;
    call.class_index = class_index;
    call.token =
        std::to_string(m_run.seed) + "-" + std::to_string(m_index) + "-" + std::to_string(m_next_call++);
    call.key = traffic.keyed ? make_key() : std::string();
    call_report report;
    report.class_index = class_index;
    report.sent = intended - m_start;
    report.key = call.key;
    steady_time attempt_start = intended;
    while (true) {
        call.target = next_target(class_index);
        call.deadline = std::min(attempt_start + traffic.timeout, intended + traffic.patience);
        attempt_report ended_attempt = co_await attempt(call);
        report.attempts.push_back(std::move(ended_attempt));
        attempt_start = std::chrono::steady_clock::now() + traffic.retry_interval;
        const bool out_of_time = attempt_start >= intended + traffic.patience;
        if (ends_call(report.attempts.back()) || report.attempts.size() >= traffic.attempts || out_of_time) {
            break;
        }
        co_await wait_until(attempt_start);
    }
    report.latency = std::chrono::steady_clock::now() - intended;
    finish(report);
}

asio::awaitable<attempt_report> load_worker::attempt(const call_state& call) {
    attempt_report report;
    caller_pool& pool = pool_of(call.target);
    auto connection = co_await pool.take(call.deadline);
    if (!connection) {
        report.end = attempt_end::timeout;
        co_return report;
    }
    connection->stream.expires_at(call.deadline);
    if (!connection->connected) {
        boost::system::error_code error;
        co_await connection->stream.async_connect(pool.target(),
                                                  asio::redirect_error(asio::use_awaitable, error));
        connection->connected = !error;
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    if (connection->connected) {
        report = co_await exchange(*connection, call);
    }
    if (!connection->connected && std::chrono::steady_clock::now() >= call.deadline) {
        report.end = attempt_end::timeout;
    }
    pool.put(std::move(connection));
    co_return report;
}

asio::awaitable<attempt_report> load_worker::exchange(caller_connection& connection, const call_state& call) {
    const call_class& traffic = m_run.classes[call.class_index];
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline -
                                                                            std::chrono::steady_clock::now());
    std::string target =
        traffic.path + (traffic.path.find('?') == std::string::npos ? "?" : "&") + "token=" + call.token;
    if (traffic.response_bytes > 0) {
        target += "&bytes=" + std::to_string(traffic.response_bytes);
    }
    http::request<http::span_body<const char>> request(http::string_to_verb(traffic.method), target, 11);
    request.set(http::field::host, call.target);
    request.set("Monsoonlift-Service", traffic.service);
    request.set("Monsoonlift-Timeout-Ms", std::to_string(std::max<std::int64_t>(left.count(), 1)));
    if (!traffic.caller.empty()) {
        request.set("Monsoonlift-Caller", traffic.caller);
    }
    if (!call.key.empty()) {
        request.set("Idempotency-Key", call.key);
    }
    const std::string& body = m_bodies[call.class_index];
    request.body() = {body.data(), body.size()};
    request.prepare_payload();
    attempt_report report;
    boost::system::error_code error;
    co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, error));
    // NOTE: a server may refuse a request before it has read the complete body, so the answer is read even
    // after a failed write.
    const bool written = !error;
    error = {};
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    co_await http::async_read(connection.stream, connection.buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    connection.connected = written && !error && parser.keep_alive();
    if (error) {
        co_return report;
    }
    const auto& response = parser.get();
    report.status = static_cast<int>(response.result_int());
    report.verdict = std::string(response["Monsoonlift-Verdict"]);
    report.end = end_of_status(response.result());
    const expected_answer expected{call.token, traffic.body_bytes, m_body_digests[call.class_index],
                                   traffic.response_bytes};
    if (report.end == attempt_end::whole && !is_expected(expected, response.body())) {
        report.end = attempt_end::wrong;
    }
    co_return report;
}

std::string load_worker::make_key() {
    constexpr std::uint64_t low_48_bits = (1ULL << 48U) - 1;
    constexpr std::uint64_t low_12_bits = 0xfff;
    constexpr std::uint64_t variant = 1ULL << 63U;
    constexpr std::uint64_t low_62_bits = (1ULL << 62U) - 1;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    const std::uint64_t time = static_cast<std::uint64_t>(issued) & low_48_bits;
    const std::uint64_t high_random = m_random() & low_12_bits;
    const std::uint64_t low = variant | (m_random() & low_62_bits);
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  static_cast<unsigned long long>(time >> 16U),
                  static_cast<unsigned long long>(time & 0xffffU),
                  static_cast<unsigned long long>(high_random), static_cast<unsigned long long>(low >> 48U),
                  static_cast<unsigned long long>(low & low_48_bits));
    return text.data();
}

const std::string& load_worker::next_target(std::size_t class_index) {
    const auto& targets = m_run.classes[class_index].targets;
    return targets[m_next_target[class_index]++ % targets.size()];
}

caller_pool& load_worker::pool_of(const std::string& target) {
    return m_pools.at(target);
}

void load_worker::finish(const call_report& call) {
    add_call(m_results[call.class_index], call);
    m_observer(call);
}

} // namespace monsoonlift::tools::internal
