#include "tools/scenario_reader.h"

#include "settings/yaml_reader.h"

#include <algorithm>
#include <array>
#include <optional>

namespace monsoonlift::tools {
namespace {

using namespace std::chrono_literals;
using settings::settings_error;
using settings::yaml_reader;

constexpr std::uint64_t max_body_bytes = 256ULL * 1024 * 1024;
constexpr double max_rate = 100000;
constexpr auto max_duration = std::chrono::milliseconds(1h);

std::vector<phase> read_phases(yaml_reader& root) {
    std::vector<phase> phases;
    for (auto& reader : root.map_list("phases")) {
        reader.refuse_unknown_keys({"name", "duration"});
        phases.push_back(
            {reader.required_string("name"), reader.duration("duration", 1ms, max_duration, {})});
    }
    if (phases.empty()) {
        root.report("phases", "none", "at least one phase");
    }
    return phases;
}

std::vector<double> read_rates(yaml_reader& reader, const std::vector<phase>& phases) {
    std::vector<std::string> names;
    for (const auto& one : phases) {
        names.push_back(one.name);
    }
    auto rates = reader.map("rates");
    if (!rates) {
        reader.report("rates", "nothing", "calls per second by phase name");
        return {};
    }
    rates->refuse_unknown_keys(names);
    std::vector<double> result;
    for (const auto& name : names) {
        result.push_back(rates->number(name, 0, max_rate, 0.0));
    }
    return result;
}

call_class read_class(yaml_reader& reader, const std::vector<phase>& phases,
                      const std::vector<std::string>& default_targets) {
    reader.refuse_unknown_keys({"name", "service", "caller", "method", "path", "targets", "rates", "timeout",
                                "patience", "attempts", "retry_interval", "body_bytes", "response_bytes",
                                "keyed"});
    call_class result;
    result.name = reader.required_string("name");
    result.service = reader.required_string("service");
    result.caller = reader.optional_string("caller", "");
    result.method = reader.one_of("method", {"GET", "POST", "PUT"}, "GET");
    result.path = reader.optional_string("path", "/");
    result.targets = reader.string_list("targets");
    if (result.targets.empty()) {
        result.targets = default_targets;
    }
    if (result.targets.empty()) {
        reader.report("targets", "none", "at least one address, for this class or for the complete scenario");
    }
    result.rates = read_rates(reader, phases);
    result.timeout = reader.duration("timeout", 1ms, max_duration, 1000ms);
    constexpr std::uint64_t max_attempts = 1000;
    result.attempts = static_cast<std::uint32_t>(reader.whole_number("attempts", 1, max_attempts, 1));
    result.retry_interval = reader.duration("retry_interval", 0ms, max_duration, 0ms);
    result.patience = reader.duration("patience", 1ms, max_duration, result.timeout);
    result.body_bytes = reader.whole_number("body_bytes", 0, max_body_bytes, 0);
    result.response_bytes = reader.whole_number("response_bytes", 0, max_body_bytes, 0);
    result.keyed = reader.boolean("keyed", false);
    return result;
}

scenario read_all(yaml_reader& root) {
    root.refuse_unknown_keys({"seed", "threads", "connections", "linger", "targets", "phases", "classes"});
    constexpr std::uint64_t max_threads = 64;
    constexpr std::uint64_t max_connections = 20000;
    scenario result;
    result.seed = root.whole_number("seed", 0, UINT64_MAX, result.seed);
    result.threads = root.whole_number("threads", 1, max_threads, result.threads);
    result.connections = root.whole_number("connections", 1, max_connections, result.connections);
    result.linger = root.duration("linger", 0ms, max_duration, result.linger);
    result.phases = read_phases(root);
    const auto targets = root.string_list("targets");
    for (auto& reader : root.map_list("classes")) {
        result.classes.push_back(read_class(reader, result.phases, targets));
    }
    if (result.classes.empty()) {
        root.report("classes", "none", "at least one class");
    }
    return result;
}

} // namespace

std::variant<scenario, std::vector<settings_error>> read_scenario(const std::string& text) {
    std::vector<settings_error> errors;
    const auto node = settings::load_map(text, "", errors);
    if (!node) {
        return errors;
    }
    yaml_reader root(*node, "", errors);
    scenario result = read_all(root);
    if (!errors.empty()) {
        return errors;
    }
    return result;
}

} // namespace monsoonlift::tools
