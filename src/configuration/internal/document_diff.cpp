#include "configuration/document_diff.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

namespace monsoonlift::configuration {

namespace {

using flat_document = std::map<std::string, std::string>;

constexpr auto present = "(present)";

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return "[" + text + "]";
}

std::string duration_text(std::chrono::milliseconds value) {
    return std::to_string(value.count()) + "ms";
}

std::string number_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

void flatten_call(flat_document& flat, const std::string& path, const call_rule& call) {
    flat[path] = present;
    flat[path + ".method"] = call.method;
    flat[path + ".path"] = call.path_prefix;
    flat[path + ".class"] = call.class_name;
    flat[path + ".idempotent"] = call.idempotent ? "true" : "false";
    flat[path + ".patience"] = duration_text(call.patience);
}

void flatten_service(flat_document& flat, const service_rule& service) {
    const auto path = "services." + service.name;
    flat[path] = present;
    flat[path + ".endpoints"] = std::to_string(service.endpoints);
    flat[path + ".slots"] = std::to_string(service.slots);
    flat[path + ".connections"] = std::to_string(service.connections);
    flat[path + ".drain_time"] = duration_text(service.drain_time);
    for (const auto& call : service.calls) {
        flatten_call(flat, path + ".calls." + call.name, call);
    }
}

std::string limit_text(double value) {
    return value > 0 ? number_text(value) : "no limit";
}

void flatten_account(flat_document& flat, const document& configuration, const accounts::account& account) {
    const auto path = "accounts." + account.name;
    const bool has_class = account.rank && *account.rank < configuration.classes.size();
    flat[path] = present;
    flat[path + ".class"] = has_class ? configuration.classes.at(*account.rank) : "of the route";
    flat[path + ".rate_per_second"] = limit_text(account.limit.rate_per_second);
    flat[path + ".burst"] = number_text(account.limit.burst);
}

void flatten_accounts(flat_document& flat, const document& configuration) {
    flat["callers_need_keys"] = configuration.accounts ? "true" : "false";
    for (const auto& route : configuration.routes) {
        flat["routes." + route.name + ".public"] = route.is_public ? "true" : "";
    }
    if (configuration.accounts) {
        for (const auto& account : configuration.accounts->accounts) {
            flatten_account(flat, configuration, account);
        }
    }
}

/// Returns how many of the account's keys another list lacks.
std::size_t count_missing(const accounts::account& account, const accounts::account& other) {
    return static_cast<std::size_t>(
        std::count_if(account.keys.begin(), account.keys.end(), [&other](const accounts::key_digest& key) {
            return std::find(other.keys.begin(), other.keys.end(), key) == other.keys.end();
        }));
}

/// Returns the changes of keys of accounts that both documents list, in numbers: neither keys nor digests
/// belong in an audit trail.
std::vector<document_change> diff_keys(const document& before, const document& after) {
    std::vector<document_change> changes;
    if (!before.accounts || !after.accounts) {
        return changes;
    }
    for (const auto& account : after.accounts->accounts) {
        const auto* old = accounts::find_by_name(*before.accounts, account.name);
        const auto added = old == nullptr ? 0 : count_missing(account, *old);
        const auto removed = old == nullptr ? 0 : count_missing(*old, account);
        if (added + removed > 0) {
            changes.push_back({"accounts." + account.name + ".keys", std::to_string(old->keys.size()),
                               std::to_string(account.keys.size()) + " (" + std::to_string(added) +
                                   " added, " + std::to_string(removed) + " removed)"});
        }
    }
    return changes;
}

flat_document flatten(const document& configuration) {
    flat_document flat;
    flat["data_centres"] = joined(configuration.data_centres);
    flat["classes"] = joined(configuration.classes);
    flat["retries.attempts_per_root"] = std::to_string(configuration.retries.attempts_per_root);
    flat["retries.ratio"] = number_text(configuration.retries.ratio);
    flat["execution.resend_window"] = duration_text(configuration.execution.resend_window);
    flat["caller_idle_time"] = duration_text(configuration.caller_idle_time);
    flatten_accounts(flat, configuration);
    for (const auto& caller : configuration.callers) {
        flat["callers." + caller.name] = present;
        flat["callers." + caller.name + ".patience"] = duration_text(caller.patience);
    }
    for (const auto& service : configuration.services) {
        flatten_service(flat, service);
    }
    return flat;
}

std::string value_at(const flat_document& flat, const std::string& path) {
    const auto found = flat.find(path);
    return found == flat.end() ? std::string{} : found->second;
}

/// Whether an ancestor of `path` was added or removed; its change then covers `path` too.
bool has_changed_ancestor(const std::string& path, const flat_document& before, const flat_document& after) {
    for (auto dot = path.find('.'); dot != std::string::npos; dot = path.find('.', dot + 1)) {
        const auto ancestor = path.substr(0, dot);
        if (before.contains(ancestor) != after.contains(ancestor)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::vector<document_change> diff(const document& before, const document& after) {
    const auto old_values = flatten(before);
    const auto new_values = flatten(after);
    auto all = old_values;
    all.insert(new_values.begin(), new_values.end());
    std::vector<document_change> changes;
    for (const auto& [path, ignored] : all) {
        document_change change{path, value_at(old_values, path), value_at(new_values, path)};
        if (change.before != change.after && !has_changed_ancestor(path, old_values, new_values)) {
            changes.push_back(std::move(change));
        }
    }
    auto keys = diff_keys(before, after);
    changes.insert(changes.end(), std::make_move_iterator(keys.begin()), std::make_move_iterator(keys.end()));
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto& left, const auto& right) { return left.path < right.path; });
    return changes;
}

std::string to_string(const document_change& change) {
    if (change.before == present) {
        return change.path + ": removed";
    }
    if (change.after == present) {
        return change.path + ": added";
    }
    return change.path + ": " + (change.before.empty() ? "(none)" : change.before) + " -> " +
           (change.after.empty() ? "(none)" : change.after);
}

} // namespace monsoonlift::configuration
