#include "platform/heartbeat_codec.h"

#include "platform/internal/json_fields.h"

#include <algorithm>

namespace monsoonlift::platform {

namespace {

constexpr std::size_t max_id_length = 128;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_cold_ms = 600'000;

bool is_id(std::string_view text) {
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < 127; });
}

heartbeat_fault bad_id() {
    return {"the id in the path must be 1 to 128 visible ASCII characters"};
}

} // namespace

std::variant<heartbeat, heartbeat_fault> decode_heartbeat(std::string_view id, std::string_view body) {
    if (!is_id(id)) {
        return bad_id();
    }
    const auto map = internal::parse_map(body);
    if (!map) {
        return heartbeat_fault{"the body is no JSON map"};
    }
    const auto slots = internal::find_number(*map, "Slots", max_slots);
    const auto sequence = internal::find_number(*map, "Sequence");
    const auto state = internal::find_text(*map, "State");
    const auto service = internal::find_text(*map, "Service").value_or("");
    if (service.empty()) {
        return heartbeat_fault{"Service is missing or no text"};
    }
    if (!slots || *slots == 0) {
        return heartbeat_fault{"Slots is missing or no number from 1 to 100000"};
    }
    if (!sequence) {
        return heartbeat_fault{"Sequence is missing or no whole number"};
    }
    if (state != "ready" && state != "draining") {
        return heartbeat_fault{"State is neither \"ready\" nor \"draining\""};
    }
    heartbeat read;
    read.id = id;
    read.service = service;
    read.slots = static_cast<std::uint32_t>(*slots);
    read.draining = state == "draining";
    read.cold_for =
        std::chrono::milliseconds(internal::find_number(*map, "ColdRemainingMs", max_cold_ms).value_or(0));
    read.sequence = *sequence;
    read.started_ms = internal::find_number(*map, "born").value_or(0);
    return read;
}

std::variant<deregistration, heartbeat_fault> decode_deregistration(std::string_view id,
                                                                    std::string_view body) {
    if (!is_id(id)) {
        return bad_id();
    }
    const auto map = internal::parse_map(body);
    const auto started_ms = map ? internal::find_number(*map, "born") : std::nullopt;
    return deregistration{std::string(id), started_ms.value_or(0)};
}

} // namespace monsoonlift::platform
