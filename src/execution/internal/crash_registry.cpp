#include "execution/crash_registry.h"

#include "execution/proto/crash.pb.h"

#include <algorithm>
#include <iterator>

namespace monsoonlift::execution {

namespace {

constexpr unsigned crashes_to_hold = 2;

bool is_suspect(const crash_registry& registry, request_fingerprint request, core::steady_time now) {
    return look_up(registry, request, now) != crash_state::clear;
}

void add_suspect(crash_registry& registry, request_fingerprint request, core::steady_time now) {
    if (registry.suspects.size() >= registry.limits.max_suspects && !registry.suspects.contains(request)) {
        return;
    }
    crash_suspect& suspect = registry.suspects[request];
    ++suspect.crashes;
    suspect.last = now;
    if (suspect.crashes >= crashes_to_hold) {
        suspect.held_until = now + registry.limits.hold;
    }
}

} // namespace

std::vector<request_fingerprint> note_crash(crash_registry& registry, const crash_report& report,
                                            core::steady_time now) {
    if (!registry.processed_reports.emplace(std::pair(report.gate, report.number), now).second) {
        return {};
    }
    std::set<request_fingerprint> in_flight(report.in_flight.begin(), report.in_flight.end());
    std::vector<request_fingerprint> repeated;
    std::copy_if(in_flight.begin(), in_flight.end(), std::back_inserter(repeated),
                 [&](request_fingerprint one) { return is_suspect(registry, one, now); });
    if (repeated.empty()) {
        for (const request_fingerprint one : in_flight) {
            add_suspect(registry, one, now);
        }
        return {};
    }
    for (const request_fingerprint one : repeated) {
        add_suspect(registry, one, now);
    }
    return repeated;
}

crash_state look_up(const crash_registry& registry, request_fingerprint request, core::steady_time now) {
    const auto found = registry.suspects.find(request);
    if (found == registry.suspects.end()) {
        return crash_state::clear;
    }
    if (found->second.held_until) {
        return now < *found->second.held_until ? crash_state::held : crash_state::clear;
    }
    return now - found->second.last < registry.limits.suspicion ? crash_state::suspect : crash_state::clear;
}

void release(crash_registry& registry, request_fingerprint request) {
    registry.suspects.erase(request);
}

void hold(crash_registry& registry, request_fingerprint request, core::steady_time now) {
    crash_suspect& suspect = registry.suspects[request];
    suspect.last = now;
    suspect.held_until = now + registry.limits.hold;
}

void expire(crash_registry& registry, core::steady_time now) {
    std::erase_if(registry.processed_reports,
                  [&](const auto& entry) { return now - entry.second > registry.limits.hold; });
    std::erase_if(registry.suspects, [&](const auto& entry) {
        return look_up(registry, entry.first, now) == crash_state::clear;
    });
}

std::string write_crash(const crash_report& report) {
    proto::crash_report wire;
    wire.set_gate_address(report.gate.address);
    wire.set_gate_incarnation(report.gate.life.value);
    wire.set_number(report.number);
    for (const request_fingerprint one : report.in_flight) {
        wire.add_in_flight(one.value);
    }
    return wire.SerializeAsString();
}

std::optional<crash_report> read_crash(std::string_view payload) {
    proto::crash_report wire;
    if (!wire.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
        wire.gate_address().empty()) {
        return std::nullopt;
    }
    crash_report report;
    report.gate = {wire.gate_address(), {wire.gate_incarnation()}};
    report.number = wire.number();
    for (const std::uint64_t value : wire.in_flight()) {
        report.in_flight.push_back({value});
    }
    return report;
}

std::string write_ruling(const crash_ruling& ruling) {
    proto::crash_ruling wire;
    wire.set_request(ruling.request.value);
    wire.set_held(ruling.held);
    wire.set_number(ruling.number);
    return wire.SerializeAsString();
}

std::optional<crash_ruling> read_ruling(std::string_view payload) {
    proto::crash_ruling wire;
    if (!wire.ParseFromArray(payload.data(), static_cast<int>(payload.size())) || wire.request() == 0) {
        return std::nullopt;
    }
    return crash_ruling{{wire.request()}, wire.held(), wire.number()};
}

} // namespace monsoonlift::execution
