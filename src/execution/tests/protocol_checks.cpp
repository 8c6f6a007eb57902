#include "execution/tests/protocol_checks.h"

namespace monsoonlift::execution::testing {

namespace {

void violate(protocol_world& world, const std::string& what) {
    world.note([&] { return "violation: " + what; });
    if (!world.violation) {
        world.violation = what;
    }
}

} // namespace

void record_run(protocol_world& world, const ticket& running) {
    ++world.runs;
    world.note([&] { return "copy " + std::to_string(running.copy) + " runs"; });
    if (world.runs > 1) {
        violate(world, "a key ran twice");
    }
    if (world.told_not_run[running.copy]) {
        violate(world, "a copy that had been answered not_run ran");
    }
    if (world.now >= running.request.deadline) {
        violate(world, "a request was sent after its deadline");
    }
}

void record_told(protocol_world& world, std::size_t copy, core::verdict verdict, bool had_run) {
    ++world.told[static_cast<std::size_t>(verdict)];
    if (verdict != core::verdict::not_run) {
        return;
    }
    world.told_not_run[copy] = true;
    if (had_run) {
        violate(world, "a caller received not_run for a request that had run");
    }
}

} // namespace monsoonlift::execution::testing
