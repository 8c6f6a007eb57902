#include "entry/tests/faulty_frame_sender.h"

#include "testing/injected_failure.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace monsoonlift::entry::testing {

namespace {

using namespace std::chrono_literals;

/// A held frame is sent after this time if the sender sends no further frame.
constexpr std::chrono::milliseconds longest_hold = 5ms;

bool may_run_elsewhere(const transport::frame& message) {
    const auto* head = std::get_if<transport::request_head>(&message.payload);
    return head != nullptr ? head->context.idempotent : message.target == transport::frame_target::entry;
}

} // namespace

faulty_frame_sender::faulty_frame_sender(boost::asio::any_io_executor executor,
                                         transport::frame_sender& inner, const frame_faults& faults,
                                         std::uint64_t seed)
    : m_executor(std::move(executor)), m_inner(inner), m_faults(faults), m_random(seed) {}

void faulty_frame_sender::send(const core::endpoint_id& to, transport::frame message) {
    if (m_is_mute) {
        return;
    }
    if (m_send_to_fail > 0 && --m_send_to_fail == 0) {
        m_has_failed_send = true;
        throw monsoonlift::testing::injected_failure("the send is to fail");
    }
    remember_choice(to, message);
    damage(message);
    if (!applies_to(message)) {
        send_swapped({to, std::move(message)});
        return;
    }
    send_copies(to, message);
    if (draw(m_faults.late)) {
        send_later({to, std::move(message)});
    } else if (!m_held && draw(m_faults.swapped)) {
        hold({to, std::move(message)});
    } else {
        send_swapped({to, std::move(message)});
    }
}

void faulty_frame_sender::release() {
    for (auto& copy : std::exchange(m_held_copies, {})) {
        pass(std::move(copy));
    }
}

std::set<std::string> faulty_frame_sender::chosen_for(const std::string& target) const {
    const auto found = m_chosen.find(target);
    return found == m_chosen.end() ? std::set<std::string>() : found->second;
}

bool faulty_frame_sender::applies_to(const transport::frame& message) const {
    if (message.target == transport::frame_target::entry) {
        return m_faults.answers;
    }
    const bool is_head = std::holds_alternative<transport::request_head>(message.payload);
    return m_faults.requests && (is_head || !m_faults.heads_only);
}

bool faulty_frame_sender::draw(double share) {
    const bool drawn = std::bernoulli_distribution(share)(m_random);
    m_injected += drawn ? 1 : 0;
    return drawn;
}

std::chrono::milliseconds faulty_frame_sender::draw_delay() {
    std::uniform_int_distribution<std::int64_t> any(m_faults.shortest_delay.count(),
                                                    m_faults.longest_delay.count());
    return std::chrono::milliseconds(any(m_random));
}

const core::endpoint_id& faulty_frame_sender::wrong_daemon(const core::endpoint_id& right) const {
    return m_daemons.front().address == right.address ? m_daemons.back() : m_daemons.front();
}

void faulty_frame_sender::remember_choice(const core::endpoint_id& to, const transport::frame& message) {
    if (const auto* head = std::get_if<transport::request_head>(&message.payload)) {
        m_chosen[head->target].insert(to.address);
    }
}

void faulty_frame_sender::damage(transport::frame& message) {
    if (message.target != transport::frame_target::gate ||
        message.attempt.attempt >= m_faults.damaged_attempts) {
        return;
    }
    auto* head = std::get_if<transport::request_head>(&message.payload);
    auto* chunk = std::get_if<transport::body_chunk>(&message.payload);
    // NOTE: for a chunked body only the chunks are damaged, not the bytes in the head, so that both ways in
    // which a body is sent are covered.
    if (head != nullptr && head->total && !head->body.empty()) {
        head->body.front() ^= 1;
        ++m_injected;
    } else if (chunk != nullptr) {
        chunk->data.front() ^= 1;
        ++m_injected;
    }
}

void faulty_frame_sender::send_copies(const core::endpoint_id& to, const transport::frame& message) {
    if (draw(m_faults.crossed)) {
        pass({{wrong_daemon(to).address, to.life}, message});
    }
    if (may_run_elsewhere(message) && draw(m_faults.misdirected)) {
        pass({wrong_daemon(to), message});
    }
    if (!draw(m_faults.doubled)) {
        return;
    }
    if (m_faults.copies_held) {
        m_held_copies.push_back({to, message});
    } else if (draw(0.5)) {
        pass({to, message});
    } else {
        send_later({to, message});
    }
}

void faulty_frame_sender::send_swapped(addressed_frame next) {
    pass(std::move(next));
    if (auto held = std::exchange(m_held, std::nullopt)) {
        --m_pending;
        pass(std::move(*held));
    }
}

void faulty_frame_sender::hold(addressed_frame next) {
    m_held = std::move(next);
    ++m_pending;
    const auto number = ++m_holds;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_executor, longest_hold);
    timer->async_wait([this, timer, number](const boost::system::error_code&) {
        if (m_held && m_holds == number) {
            --m_pending;
            pass(*std::exchange(m_held, std::nullopt));
        }
    });
}

void faulty_frame_sender::send_later(addressed_frame late) {
    const auto delay = draw_delay();
    // NOTE: a deadline is sent as the time left, so a frame delayed in transit keeps its time left.
    if (auto* head = std::get_if<transport::request_head>(&late.message.payload)) {
        head->context.deadline += delay;
    }
    ++m_pending;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_executor, delay);
    timer->async_wait([this, timer, late = std::move(late)](const boost::system::error_code&) mutable {
        --m_pending;
        pass(std::move(late));
    });
}

void faulty_frame_sender::pass(addressed_frame next) {
    ++m_passed;
    m_inner.send(next.to, std::move(next.message));
}

} // namespace monsoonlift::entry::testing
