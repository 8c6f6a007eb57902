#include "gate/backend_protocol.h"

#include <algorithm>
#include <string>

namespace monsoonlift::gate {

namespace {

constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

} // namespace

void label_request(boost::beast::http::fields& fields, const request_label& label) {
    const auto left_ms = std::max<std::int64_t>(label.time_left.count(), 1);
    fields.set("Monsoonlift-Context", to_string(label.token));
    fields.set("Monsoonlift-Timeout-Ms", std::to_string(left_ms));
    if (!label.head.context.key.empty()) {
        fields.set("Idempotency-Key", label.head.context.key);
    }
}

bool is_refusal(unsigned status, const boost::beast::http::fields& fields) {
    const bool busy = status == status_unavailable || status == status_too_many_requests;
    const auto said = fields["Monsoonlift-Verdict"];
    return busy && std::string_view(said.data(), said.size()) == core::to_string(core::verdict::not_run);
}

} // namespace monsoonlift::gate
