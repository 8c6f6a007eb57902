#include "gate/misdirected_request.h"

namespace monsoonlift::gate {

using core::verdict;
using transport::end_reason;

std::optional<misdirected_refusal> refuse_misdirected(const transport::frame& message,
                                                      const core::endpoint_id& self, core::steady_time now) {
    const auto* head = std::get_if<transport::request_head>(&message.payload);
    if (head == nullptr || head->gate_address != self.address) {
        return std::nullopt;
    }
    // NOTE: a key may have been used at the earlier process, and a frame that was written before may have
    // reached it.
    const bool can_have_run = message.rewritten || !head->context.key.empty();
    transport::attempt_end end;
    end.successor_of = message.receiver;
    end.run = can_have_run ? verdict::may_have_run : verdict::not_run;
    end.reason = can_have_run ? end_reason::backend_failed : end_reason::no_backend;
    end.detail = "the daemon of the backend server has been restarted";
    if (!can_have_run) {
        end.nested_attempts = 0;
    }
    misdirected_refusal refusal;
    refusal.to = {head->reply_address, message.sender};
    refusal.message.attempt = message.attempt;
    refusal.message.target = transport::frame_target::entry;
    refusal.message.payload = std::move(end);
    refusal.message.expires = transport::known_call_expiry(head->context.deadline, now);
    return refusal;
}

} // namespace monsoonlift::gate
