#include "gate/connection_rest.h"

namespace monsoonlift::gate {

bool can_send_again(const transport::request_head& head) {
    return head.context.idempotent && head.total.has_value();
}

std::chrono::milliseconds longest_rest(const transport::request_head& head) {
    return can_send_again(head) ? most_rest : sure_rest;
}

} // namespace monsoonlift::gate
