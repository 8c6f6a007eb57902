#include "logging/event_format.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::logging {

namespace {

std::string_view to_string(severity level) {
    switch (level) {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

} // namespace

const event_description* describe(event_id id) {
    const auto* found = std::find_if(event_catalogue.begin(), event_catalogue.end(),
                                     [&](const event_description& entry) { return entry.id == id; });
    return found == event_catalogue.end() ? nullptr : found;
}

std::string format_event(event_id id, std::string_view process, std::initializer_list<field> fields) {
    boost::json::object line;
    line["event"] = static_cast<std::uint16_t>(id);
    if (const event_description* entry = describe(id); entry != nullptr) {
        line["name"] = entry->name;
        line["severity"] = to_string(entry->level);
    }
    line["process"] = process;
    for (const field& each : fields) {
        line[each.name] = each.value;
    }
    return boost::json::serialize(line);
}

} // namespace monsoonlift::logging
