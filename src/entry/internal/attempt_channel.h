#pragma once

#include "transfer/async_queue.h"
#include "transfer/credit_gate.h"
#include "transport/types/frame.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <memory>
#include <utility>
#include <variant>

namespace monsoonlift::entry::internal {

/// Events of an attempt that this daemon detects itself, as opposed to frames from the gate.
enum class local_event {
    not_sent,          ///< The request was never sent.
    link_broken,       ///< A frame after the first one could not be sent.
    endpoint_replaced, ///< A later process runs at the address of the endpoint.
    endpoint_doubted,  ///< Membership takes the endpoint for unreachable or gone.
    stopping,          ///< This daemon is about to stop.
    broken_off,        ///< An internal error lost a frame of the attempt or ended its upload.
    out_of_time,       ///< The deadline has passed, and the answer that has begun is not whole.
    caller_gone
};

using attempt_event = std::variant<transport::response_head, transport::body_chunk, transport::body_end,
                                   transport::attempt_end, transport::status_in_progress, local_event>;

/// Receives the frames and local events of one attempt. `deliver` and `notify` may be called from any thread;
/// everything else only on the strand.
class attempt_channel : public std::enable_shared_from_this<attempt_channel> {
public:
    attempt_channel(const boost::asio::any_io_executor& strand, core::endpoint_id endpoint)
        : events(strand), credit(strand), m_strand(strand), m_endpoint(std::move(endpoint)) {}

    [[nodiscard]] const core::endpoint_id& endpoint() const { return m_endpoint; }

    void deliver(decltype(transport::frame::payload) payload) {
        boost::asio::dispatch(m_strand, [self = shared_from_this(), payload = std::move(payload)]() mutable {
            self->take_or_break_off(std::move(payload));
        });
    }

    void notify(local_event event) {
        boost::asio::post(m_strand, [self = shared_from_this(), event] { self->events.push(event); });
    }

    /// Whether the end of a streamed answer has arrived, which comes after all its chunks.
    [[nodiscard]] bool has_whole_answer() const { return m_has_whole_answer; }

    transfer::async_queue<attempt_event> events;
    transfer::credit_gate credit;

private:
    void take_or_break_off(decltype(transport::frame::payload) payload) {
        try {
            take(std::move(payload));
        } catch (...) {
            notify(local_event::broken_off);
            throw;
        }
    }

    void take(decltype(transport::frame::payload) payload) {
        if (const auto* granted = std::get_if<transport::credit>(&payload)) {
            credit.grant(granted->chunks);
        } else if (auto* head = std::get_if<transport::response_head>(&payload)) {
            events.push(std::move(*head));
        } else if (auto* chunk = std::get_if<transport::body_chunk>(&payload)) {
            events.push(std::move(*chunk));
        } else if (auto* end = std::get_if<transport::body_end>(&payload)) {
            m_has_whole_answer = end->end.has_value();
            events.push(std::move(*end));
        } else if (std::holds_alternative<transport::status_in_progress>(payload)) {
            events.push(transport::status_in_progress{});
        } else if (auto* failure = std::get_if<transport::attempt_end>(&payload)) {
            events.push(std::move(*failure));
        }
    }

    boost::asio::any_io_executor m_strand;
    core::endpoint_id m_endpoint;
    bool m_has_whole_answer = false;
};

} // namespace monsoonlift::entry::internal
