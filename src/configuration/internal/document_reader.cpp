#include "configuration/document_reader.h"

#include <chrono>
#include <set>
#include <utility>

#include "configuration/internal/account_reader.h"
#include "configuration/internal/route_reader.h"
#include "configuration/internal/service_reader.h"
#include "configuration/limits.h"
#include "settings/yaml_reader.h"

namespace monsoonlift::configuration {

namespace {

using namespace std::chrono_literals;
using settings::settings_error;
using settings::yaml_reader;

constexpr std::uint64_t document_format = 1;
constexpr std::uint64_t max_attempts_per_root = 16;
constexpr std::size_t max_data_centres = 64;

const std::vector<std::string> document_keys{"format",           "data_centres", "classes",  "callers",
                                             "retries",          "execution",    "services", "routes",
                                             "caller_idle_time", "accounts"};

std::vector<std::string> read_names(yaml_reader& root, std::string_view key, std::size_t most) {
    auto names = root.string_list(key);
    std::set<std::string> seen;
    for (const auto& name : names) {
        if (!name.empty() && !internal::is_name(name, submitted_limits)) {
            root.report(key, "\"" + name + "\"", internal::name_rule);
        }
        if (!name.empty() && !seen.insert(name).second) {
            root.report(key, "\"" + name + "\" twice", "each name once");
        }
    }
    if (names.empty() || names.size() > most) {
        root.report(key, std::to_string(names.size()) + " names", "1 to " + std::to_string(most) + " names");
    }
    return names;
}

std::vector<caller_rule> read_callers(yaml_reader& root) {
    std::vector<caller_rule> callers;
    std::set<std::string> names;
    for (auto& reader : root.map_list("callers")) {
        reader.refuse_unknown_keys({"name", "patience"});
        caller_rule caller{internal::read_name(reader, "name", submitted_limits),
                           reader.duration("patience", 1ms, 10min, std::nullopt)};
        if (!names.insert(caller.name).second) {
            reader.report("name", "\"" + caller.name + "\"", "a name that no other caller has");
        }
        callers.push_back(std::move(caller));
    }
    return callers;
}

retry_rule read_retries(yaml_reader& root) {
    retry_rule rule;
    if (auto reader = root.map("retries")) {
        reader->refuse_unknown_keys({"attempts_per_root", "ratio"});
        rule.attempts_per_root = static_cast<std::uint32_t>(
            reader->whole_number("attempts_per_root", 0, max_attempts_per_root, rule.attempts_per_root));
        rule.ratio = reader->number("ratio", 0, 1, rule.ratio);
    }
    return rule;
}

execution_rule read_execution(yaml_reader& root) {
    execution_rule rule;
    if (auto reader = root.map("execution")) {
        reader->refuse_unknown_keys({"resend_window"});
        rule.resend_window = reader->duration("resend_window", 1s, 24h, rule.resend_window);
    }
    return rule;
}

document read_root(yaml_reader& root, const document_limits& limits) {
    document read;
    root.refuse_unknown_keys(document_keys);
    static_cast<void>(root.whole_number("format", document_format, document_format, std::nullopt));
    read.data_centres = read_names(root, "data_centres", max_data_centres);
    read.classes = read_names(root, "classes", max_classes);
    read.callers = read_callers(root);
    read.retries = read_retries(root);
    read.execution = read_execution(root);
    read.caller_idle_time = root.duration("caller_idle_time", 1ms, max_caller_idle_time, 0ms);
    read.routes = internal::read_routes(root, read.classes, limits);
    read.services = internal::read_services(root, read.classes, limits);
    internal::check_destinations(root, read.routes, read.services);
    auto accounts = internal::read_accounts(root, read.classes, limits);
    read.accounts = std::move(accounts.table);
    read.left_out = std::move(accounts.left_out);
    return read;
}

} // namespace

std::variant<document, std::vector<settings_error>> read_document(const std::string& yaml_text,
                                                                  const document_limits& limits) {
    std::vector<settings_error> errors;
    if (yaml_text.size() > limits.bytes) {
        errors.push_back({"(document)", 0, std::to_string(yaml_text.size()) + " bytes",
                          "at most " + std::to_string(limits.bytes) + " bytes"});
        return errors;
    }
    const auto root = settings::load_map(yaml_text, "(document)", errors);
    if (!root) {
        return errors;
    }
    yaml_reader reader(*root, "", errors);
    auto read = read_root(reader, limits);
    internal::hide_keys(errors);
    if (!errors.empty()) {
        return errors;
    }
    return read;
}

} // namespace monsoonlift::configuration
