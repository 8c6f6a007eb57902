#include "platform/heartbeat_codec.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace monsoonlift::platform {

namespace json = boost::json;

namespace {

constexpr std::size_t max_id_length = 128;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_cold_ms = 600'000;

bool is_id(std::string_view text) {
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < 127; });
}

std::string_view text_of(const json::object& map, const char* name) {
    const auto* value = map.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    const auto& text = value->get_string();
    return {text.data(), text.size()};
}

std::optional<std::uint64_t> number_of(const json::object& map, const char* name, std::uint64_t most) {
    const auto* value = map.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code fault;
    const auto number = value->to_number<std::uint64_t>(fault);
    return fault || number > most ? std::nullopt : std::optional(number);
}

} // namespace

std::variant<heartbeat, heartbeat_fault> decode_heartbeat(std::string_view id, std::string_view body) {
    constexpr auto any = std::numeric_limits<std::uint64_t>::max();
    if (!is_id(id)) {
        return heartbeat_fault{"the id in the path must be 1 to 128 visible ASCII characters"};
    }
    boost::system::error_code fault;
    const auto value = json::parse({body.data(), body.size()}, fault);
    const auto* map = fault ? nullptr : value.if_object();
    if (map == nullptr) {
        return heartbeat_fault{"the body is no JSON map"};
    }
    const auto slots = number_of(*map, "Slots", max_slots);
    const auto sequence = number_of(*map, "Sequence", any);
    const auto state = text_of(*map, "State");
    const auto service = text_of(*map, "Service");
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
    read.cold_for = std::chrono::milliseconds(number_of(*map, "ColdRemainingMs", max_cold_ms).value_or(0));
    read.sequence = *sequence;
    read.started_ms = number_of(*map, "born", any).value_or(0);
    return read;
}

std::uint64_t decode_deregistered_life(std::string_view body) {
    constexpr auto any = std::numeric_limits<std::uint64_t>::max();
    boost::system::error_code fault;
    const auto value = json::parse({body.data(), body.size()}, fault);
    const auto* map = fault ? nullptr : value.if_object();
    return map != nullptr ? number_of(*map, "born", any).value_or(0) : 0;
}

} // namespace monsoonlift::platform
