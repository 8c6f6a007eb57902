#include "logging/event_format.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::logging {

namespace {

/// Number of fields that every line has: time, event, name, severity and process.
constexpr std::size_t common_fields = 5;

/// Size of the stack buffer in which a line is composed; most lines fit and need no heap allocation.
constexpr std::size_t line_buffer_bytes = 4096;

} // namespace

std::string_view to_string(severity level) {
    switch (level) {
    case severity::info:
        return "info";
    case severity::notice:
        return "notice";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

std::string utc_text(core::wall_time when) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since_epoch);
    const std::time_t unix_seconds = seconds.count();
    std::tm parts{};
    gmtime_r(&unix_seconds, &parts);
    std::array<char, 40> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto micros = static_cast<long>((since_epoch - seconds).count());
    std::snprintf(text.data() + length, text.size() - length, ".%06ldZ", micros);
    return text.data();
}

const event_description* describe(event_id id) {
    const auto* found = std::find_if(event_catalogue.begin(), event_catalogue.end(),
                                     [&](const event_description& entry) { return entry.id == id; });
    return found == event_catalogue.end() ? nullptr : found;
}

std::string format_event(core::wall_time when, event_id id, std::string_view process,
                         std::span<const field> fields) {
    std::array<unsigned char, line_buffer_bytes> buffer{};
    boost::json::monotonic_resource memory(buffer.data(), buffer.size());
    boost::json::object line(&memory);
    line.reserve(common_fields + fields.size());
    line["time"] = utc_text(when);
    line["event"] = static_cast<std::uint16_t>(id);
    if (const event_description* entry = describe(id); entry != nullptr) {
        line["name"] = entry->name;
        line["severity"] = to_string(entry->level);
    }
    line["process"] = process;
    for (const field& each : fields) {
        line.emplace(each.name, each.value);
    }
    return boost::json::serialize(line);
}

} // namespace monsoonlift::logging
