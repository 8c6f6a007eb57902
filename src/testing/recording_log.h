#pragma once

#include "logging/event_log.h"

#include <initializer_list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::testing {

/// Records all events with their fields. Not thread-safe, so for tests that log from one thread.
class recording_log final : public logging::event_log {
public:
    struct line {
        logging::event_id id;
        std::map<std::string, std::string> fields;
    };

    void write(logging::event_id id, std::initializer_list<logging::field> fields) override {
        line added{id, {}};
        for (const auto& each : fields) {
            added.fields.emplace(each.name, each.value);
        }
        lines.push_back(std::move(added));
    }

    std::vector<line> lines;
};

} // namespace monsoonlift::testing
