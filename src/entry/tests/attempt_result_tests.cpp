#include "entry/internal/attempt_result.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using entry::internal::to_attempt_result;
using transport::end_reason;

namespace {

struct result_case {
    end_reason reason;
    unsigned answer_status;
    bool succeeded;
    bool shed;
    bool caller_gone = false;
};

} // namespace

TEST_CASE(
    "routing counts server errors and aborted answers as failures, not refusals or disconnected callers",
    "[attempt_result]") {
    const result_case cases[] = {
        {end_reason::answered, 200, true, false},
        {end_reason::answered, 404, true, false},
        {end_reason::answered, 500, false, false},
        {end_reason::answered, 503, false, false},
        {end_reason::backend_failed, 0, false, false},
        {end_reason::backend_failed, 200, false, false},
        {end_reason::shed, 0, false, true},
        {end_reason::draining, 0, false, true},
        {end_reason::wrong_home, 0, false, true},
        {end_reason::home_unknown, 0, false, true},
        {end_reason::key_conflict, 0, false, true},
        {end_reason::already_running, 0, false, true},
        {end_reason::refused_key, 0, false, true},
        {end_reason::quarantined, 0, false, true},
        {end_reason::body_damaged, 0, false, true},
        {end_reason::deadline, 0, false, false},
        {end_reason::cancelled, 0, false, true},
        {end_reason::cancelled, 0, false, true, true},
        {end_reason::cancelled, 200, false, true, true},
        {end_reason::backend_failed, 200, false, true, true},
        {end_reason::answered, 200, true, false, true},
        {end_reason::answered, 500, false, false, true},
    };
    for (const auto& each : cases) {
        transport::attempt_end end;
        end.reason = each.reason;
        CAPTURE(static_cast<int>(each.reason), each.answer_status, each.caller_gone);
        const auto result =
            to_attempt_result(end, each.answer_status, each.caller_gone, std::chrono::milliseconds(3));
        CHECK(result.succeeded == each.succeeded);
        CHECK(result.shed == each.shed);
        CHECK(result.latency == std::chrono::milliseconds(3));
    }
}
