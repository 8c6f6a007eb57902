#include "execution/tests/protocol_checks.h"

namespace monsoonlift::execution::testing {

namespace {

void violate(protocol_environment& environment, const std::string& what) {
    environment.note([&] { return "violation: " + what; });
    if (!environment.violation) {
        environment.violation = what;
    }
}

} // namespace

void record_run(protocol_environment& environment, const accepted_attempt& running) {
    ++environment.runs;
    environment.note([&] { return "copy " + std::to_string(running.copy) + " runs"; });
    if (environment.runs > 1) {
        violate(environment, "a key ran twice");
    }
    if (environment.received_not_run[running.copy]) {
        violate(environment, "a copy that had been answered not_run ran");
    }
    if (environment.now >= running.request.deadline) {
        violate(environment, "a request was sent after its deadline");
    }
}

void record_verdict(protocol_environment& environment, std::size_t copy, core::verdict verdict,
                    bool had_run) {
    ++environment.received[static_cast<std::size_t>(verdict)];
    if (verdict != core::verdict::not_run) {
        return;
    }
    environment.received_not_run[copy] = true;
    if (had_run) {
        violate(environment, "a caller received not_run for a request that had run");
    }
}

} // namespace monsoonlift::execution::testing
