#include "platform/heartbeat_codec.h"

#include "platform/internal/json_fields.h"

#include <algorithm>

namespace monsoonlift::platform {

namespace {

constexpr std::size_t max_id_length = 128;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_cold_ms = 600'000; ///< Longer slow starts are cut to this.

bool is_id(std::string_view text) {
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < 127; });
}

bool is_filled(const std::optional<std::string_view>& text) {
    return text && !text->empty();
}

/// Returns why a heartbeat without one of its fields, or with one of another type, can't be used. Such a
/// heartbeat does not come from the backend server, so nothing of it may change what is known of it.
std::optional<heartbeat_fault> missing_field(const boost::json::object& map) {
    for (const auto* name : {"Service", "Address", "Zone", "Version"}) {
        if (!is_filled(internal::find_text(map, name))) {
            return heartbeat_fault{std::string(name) + " is missing or no text"};
        }
    }
    const auto slots = internal::find_number(map, "Slots", max_slots);
    if (!slots || *slots == 0) {
        return heartbeat_fault{"Slots is missing or no number from 1 to 100000"};
    }
    for (const auto* name : {"Sequence", "ColdRemainingMs"}) {
        if (!internal::find_number(map, name)) {
            return heartbeat_fault{std::string(name) + " is missing or no whole number"};
        }
    }
    if (map.contains("born") && !internal::find_number(map, "born")) {
        return heartbeat_fault{"born is no whole number"};
    }
    const auto state = internal::find_text(map, "State");
    if (state != "ready" && state != "draining") {
        return heartbeat_fault{"State is neither \"ready\" nor \"draining\""};
    }
    return std::nullopt;
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
    if (const auto fault = missing_field(*map)) {
        return *fault;
    }
    heartbeat read;
    read.id = id;
    read.service = *internal::find_text(*map, "Service");
    read.address = *internal::find_text(*map, "Address");
    read.slots = static_cast<std::uint32_t>(*internal::find_number(*map, "Slots"));
    read.draining = internal::find_text(*map, "State") == "draining";
    read.cold_for =
        std::chrono::milliseconds(std::min(*internal::find_number(*map, "ColdRemainingMs"), max_cold_ms));
    read.sequence = *internal::find_number(*map, "Sequence");
    read.started_ms = internal::find_number(*map, "born").value_or(0);
    return read;
}

std::optional<heartbeat_fault> sender_fault(const heartbeat& received, const backend_identity& expected) {
    if (received.service != expected.service) {
        return heartbeat_fault{"the backend server of this VM runs another service"};
    }
    if (received.address != expected.address) {
        return heartbeat_fault{"the backend server of this VM has another address"};
    }
    return std::nullopt;
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
