#include "execution/types/execution_key.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <vector>

#include <xxhash.h>

namespace monsoonlift::execution {

namespace {

constexpr std::string_view permit_prefix = "permit/";
constexpr std::string_view attempt_prefix = "\x01";
constexpr std::size_t permit_fields = 7;
constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_position = 14;
constexpr std::size_t uuid_variant_position = 19;
constexpr std::size_t hex_digits = 16;
constexpr int hexadecimal = 16;

std::string to_hex(std::uint64_t number) {
    std::array<char, hex_digits> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    return {digits.data(), written.ptr};
}

std::optional<std::uint64_t> from_hex(std::string_view text) {
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, hexadecimal);
    const bool whole = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(number) : std::nullopt;
}

core::wall_time from_milliseconds(std::uint64_t since_epoch) {
    return core::wall_time(std::chrono::milliseconds(since_epoch));
}

std::string check_of(std::string_view text) {
    return to_hex(XXH3_64bits(text.data(), text.size()));
}

bool is_uuid_shaped(std::string_view text) {
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool wants_dash = index == 8 || index == 13 || index == 18 || index == 23;
        const bool fits =
            wants_dash ? text[index] == '-' : std::isxdigit(static_cast<unsigned char>(text[index])) != 0;
        if (!fits) {
            return false;
        }
    }
    return true;
}

std::optional<core::wall_time> time_of_uuid(std::string_view text) {
    constexpr std::string_view variants = "89abAB";
    const bool is_dated = is_uuid_shaped(text) && text[uuid_version_position] == '7' &&
                          variants.find(text[uuid_variant_position]) != std::string_view::npos;
    if (!is_dated) {
        return std::nullopt;
    }
    const auto milliseconds = from_hex(std::string(text.substr(0, 8)) + std::string(text.substr(9, 4)));
    return milliseconds ? std::optional(from_milliseconds(*milliseconds)) : std::nullopt;
}

std::optional<execution_key> parse_permit(std::string_view text) {
    const auto last = text.rfind('/');
    if (text.substr(last + 1) != check_of(text.substr(0, last))) {
        return std::nullopt;
    }
    std::vector<std::string> fields;
    boost::algorithm::split(fields, text, boost::algorithm::is_any_of("/"));
    if (fields.size() != permit_fields) {
        return std::nullopt;
    }
    const auto incarnation = from_hex(fields[2]);
    const auto issued = from_hex(fields[3]);
    if (!incarnation || !issued) {
        return std::nullopt;
    }
    return execution_key{std::string(text), key_kind::permit, from_milliseconds(*issued),
                         core::endpoint_id{fields[1], {*incarnation}}};
}

} // namespace

std::optional<execution_key> parse_key(std::string_view text) {
    if (text.starts_with(permit_prefix)) {
        return parse_permit(text);
    }
    const std::optional<core::wall_time> issued = time_of_uuid(text);
    const key_kind kind = issued ? key_kind::dated : key_kind::opaque;
    return execution_key{std::string(text), kind, issued, std::nullopt};
}

execution_key key_of_attempt(const core::attempt_id& attempt) {
    // NOTE: a caller's key contains visible characters only, so it never equals a generated key.
    std::string text(attempt_prefix);
    text += to_hex(attempt.origin.value) + "/" + to_hex(attempt.call);
    return {std::move(text), key_kind::attempt, std::nullopt, std::nullopt};
}

std::string make_permit(const core::endpoint_id& gate, core::incarnation issuer, std::uint64_t counter,
                        core::wall_time issued) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(issued.time_since_epoch());
    std::string text(permit_prefix);
    text += gate.address + "/" + to_hex(gate.life.value) + "/";
    text += to_hex(static_cast<std::uint64_t>(since_epoch.count())) + "/";
    text += to_hex(issuer.value) + "/" + to_hex(counter);
    return text + "/" + check_of(text);
}

std::size_t slot_of(std::string_view key) {
    return XXH3_64bits(key.data(), key.size()) % home_slots;
}

} // namespace monsoonlift::execution
