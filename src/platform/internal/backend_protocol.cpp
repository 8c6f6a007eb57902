#include "platform/backend_protocol.h"

#include "platform/types/wire_names.h"

#include <algorithm>
#include <string>
#include <utility>

namespace monsoonlift::platform {

namespace {

constexpr unsigned status_misdirected = 421; ///< The address belongs to another backend server now.

boost::beast::string_view view(std::string_view text) {
    return {text.data(), text.size()};
}

void label_request(boost::beast::http::fields& fields, const gate::request_label& label) {
    const auto left = std::max<std::int64_t>(label.time_left.count(), 1);
    fields.set(view(wire::time_left_header), std::to_string(left));
    if (!label.backend.id.empty()) {
        fields.set(view(wire::expected_backend_header), label.backend.id);
    }
}

bool is_refusal(unsigned status, const boost::beast::http::fields& fields) {
    return status == status_misdirected || fields.find(view(wire::not_run_header)) != fields.end();
}

} // namespace

gate::backend_protocol make_backend_protocol(std::shared_ptr<gate::running_requests> running) {
    gate::backend_protocol protocol;
    protocol.label_request = label_request;
    protocol.is_refusal = is_refusal;
    protocol.echoed_id_header = wire::request_id_header;
    protocol.running = std::move(running);
    protocol.answers_may_end_with_connection = true;
    return protocol;
}

} // namespace monsoonlift::platform
