#include "gate/connection_idle_limit.h"

namespace monsoonlift::gate {

bool is_resendable(const transport::request_head& head) {
    return head.context.idempotent && head.total.has_value();
}

std::chrono::milliseconds idle_limit(const transport::request_head& head) {
    return is_resendable(head) ? max_idle_time : safe_idle_time;
}

} // namespace monsoonlift::gate
