#include "execution/tests/protocol_environment.h"

namespace monsoonlift::execution::testing {

std::size_t protocol_environment::random_index(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

bool protocol_environment::chance(unsigned percent) {
    return random_index(100) < percent;
}

core::wall_time protocol_environment::wall_now(std::chrono::milliseconds offset) const {
    return epoch + offset + std::chrono::duration_cast<core::wall_time::duration>(now.time_since_epoch());
}

void protocol_environment::add_line(const std::string& what) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    trace += std::to_string(since) + " ms: " + what + "\n";
}

std::string gate_address(std::size_t index) {
    return "10.0.0." + std::to_string(index + 1) + ":7000";
}

std::string describe(const core::endpoint_id& gate) {
    return gate.address + "@" + std::to_string(gate.life.value);
}

} // namespace monsoonlift::execution::testing
