#include "transport/internal/send_queue.h"

#include "transport/frame_codec.h"
#include "transport/internal/framing.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::transport::internal {

namespace {

using namespace std::chrono_literals;

/// What was written longer ago than this when a connection breaks has arrived: the connection would have
/// broken earlier, at the latest after transport_options::silence_timeout.
constexpr std::chrono::milliseconds keep_time = 2s;

/// How long frames that the peer may have received wait to be written again.
constexpr std::chrono::milliseconds rewrite_time = 1s;

/// A frame that waited longer tells its receiver so.
constexpr std::chrono::milliseconds negligible_wait = 5ms;

void add_delay(outgoing_frame& held, core::steady_time now) {
    const auto wait = now - held.encoded;
    const bool rewritten = held.progress == write_progress::whole;
    if (wait < negligible_wait && !rewritten) {
        return;
    }
    if (held.encoded_bytes == 0) {
        held.encoded_bytes = held.bytes.size();
    }
    held.bytes.resize(held.encoded_bytes);
    append_delay(held.bytes, std::chrono::duration_cast<std::chrono::microseconds>(wait), rewritten);
    set_prefix(held.bytes);
}

} // namespace

void send_queue::add(outgoing_frame added) {
    m_waiting.push_back(std::move(added));
}

std::string_view send_queue::next_bytes(core::steady_time now) {
    admit();
    if (m_admitted.empty()) {
        return {};
    }
    auto& front = m_admitted.front();
    if (m_front_written == 0) {
        add_delay(front, now);
    }
    return std::string_view(front.bytes).substr(m_front_written);
}

void send_queue::admit() {
    while (!m_waiting.empty() && m_admitted.size() < m_limits.max_admitted) {
        m_admitted.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
}

void send_queue::wrote(std::size_t count, core::steady_time now) {
    m_front_written += count;
    if (m_front_written < m_admitted.front().bytes.size()) {
        return;
    }
    auto whole = std::move(m_admitted.front());
    m_admitted.pop_front();
    m_front_written = 0;
    whole.progress = write_progress::whole;
    whole.written = now;
    forget_old(now);
    keep(std::move(whole));
}

void send_queue::keep(outgoing_frame written) {
    m_kept_bytes += written.bytes.size();
    m_kept.push_back(std::move(written));
    while (m_kept_bytes > m_limits.max_kept_bytes) {
        forget_oldest_kept();
    }
}

void send_queue::forget_oldest_kept() {
    m_kept_bytes -= m_kept.front().bytes.size();
    m_kept.pop_front();
    ++m_first_sequence;
}

void send_queue::forget_old(core::steady_time now) {
    while (!m_kept.empty() && now - m_kept.front().written > keep_time) {
        forget_oldest_kept();
    }
}

void send_queue::rewind(core::steady_time now) {
    m_is_connected = false;
    forget_old(now);
    if (m_front_written > 0) {
        auto& front = m_admitted.front();
        front.progress = std::max(front.progress, write_progress::begun);
        m_front_written = 0;
    }
    for (auto* held : {&m_admitted, &m_kept}) {
        while (!held->empty()) {
            auto& last = held->back();
            const auto wait = last.progress == write_progress::whole ? rewrite_time : default_queue_time;
            last.expires = std::max(last.expires, now + wait);
            m_waiting.push_front(std::move(last));
            held->pop_back();
        }
    }
    m_kept_bytes = 0;
}

std::uint64_t send_queue::begin_connection() {
    m_is_connected = true;
    return m_first_sequence;
}

void send_queue::forget_unwritable(core::steady_time now) {
    while (!m_waiting.empty() && m_waiting.front().progress == write_progress::whole &&
           now > m_waiting.front().expires) {
        m_waiting.pop_front();
        ++m_first_sequence;
    }
}

std::vector<outgoing_frame> send_queue::expire(core::steady_time now) {
    forget_old(now);
    // NOTE: frames that were written are numbered, so they can be removed only from the front, and not once
    // the peer was told the number that a connection begins with.
    if (!m_is_connected) {
        forget_unwritable(now);
    }
    std::vector<outgoing_frame> expired;
    std::erase_if(m_waiting, [&](outgoing_frame& one) {
        const bool is_over = one.progress != write_progress::whole && now > one.expires;
        if (is_over) {
            expired.push_back(std::move(one));
        }
        return is_over;
    });
    return expired;
}

std::vector<outgoing_frame> send_queue::take_unwritten() {
    std::vector<outgoing_frame> taken;
    for (auto* held : {&m_admitted, &m_waiting}) {
        for (auto& one : *held) {
            if (one.progress != write_progress::whole) {
                taken.push_back(std::move(one));
            }
        }
        held->clear();
    }
    m_kept.clear();
    m_kept_bytes = 0;
    return taken;
}

} // namespace monsoonlift::transport::internal
