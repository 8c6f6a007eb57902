#include "entry/request_parsing.h"

#include "entry/identify_account.h"
#include "execution/types/execution_key.h"
#include "transfer/http_headers.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace monsoonlift::entry {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_key_length = 128;
constexpr milliseconds max_timeout = 600'000ms;

/// Values of the header fields in one request that this system defines or interprets.
struct own_fields {
    std::string_view service;
    std::string_view caller;
    std::string_view timeout;
    std::string_view key;
    std::string_view context;
};

bool is_visible(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < 127; });
}

std::optional<problem> read_own_fields(const request_fields& request, own_fields& fields) {
    const std::pair<std::string_view, std::string_view*> field_targets[] = {
        {"Monsoonlift-Service", &fields.service},    {"Monsoonlift-Caller", &fields.caller},
        {"Monsoonlift-Timeout-Ms", &fields.timeout}, {"Idempotency-Key", &fields.key},
        {"Monsoonlift-Context", &fields.context},
    };
    for (const auto& [name, target] : field_targets) {
        const auto found = single_header(request, name);
        if (const auto* trouble = std::get_if<problem>(&found)) {
            return *trouble;
        }
        *target = std::get<std::string_view>(found);
    }
    return std::nullopt;
}

std::optional<problem> check_names(const request_fields& request, const own_fields& fields) {
    if (auto trouble = check_target(request.target)) {
        return trouble;
    }
    if (fields.service.empty()) {
        return malformed("missing-service", "the header Monsoonlift-Service is missing or empty");
    }
    if (fields.service.size() > max_name_length || !is_visible(fields.service)) {
        return malformed("bad-service", "Monsoonlift-Service must be 1 to 128 visible ASCII characters");
    }
    if (fields.caller.size() > max_name_length || !is_visible(fields.caller)) {
        return malformed("bad-caller", "Monsoonlift-Caller must be at most 128 visible ASCII characters");
    }
    if (fields.key.size() > max_key_length || !is_visible(fields.key)) {
        return malformed("bad-key", "Idempotency-Key must be 1 to 128 visible ASCII characters");
    }
    if (!execution::parse_key(fields.key)) {
        return malformed("bad-key", "Idempotency-Key begins like a permit and is not a whole one");
    }
    return std::nullopt;
}

milliseconds patience_of(const configuration::document& configuration, const configuration::call_rule& call,
                         std::string_view caller, milliseconds fallback) {
    auto patience = call.patience > 0ms ? call.patience : fallback;
    for (const auto& rule : configuration.callers) {
        if (rule.name == caller && rule.patience > 0ms) {
            patience = std::min(patience, rule.patience);
        }
    }
    return patience;
}

/// Sets in whose name the call is made: a root call in that of its key, a nested call in that of the request
/// that makes it. The token's text gives no account, as callers could write it.
std::optional<problem> set_account(parsed_call& call, const request_fields& request,
                                   const std::optional<gate::context_token>& parent,
                                   const parsing_rules& rules) {
    const auto key = key_of(request);
    std::erase_if(call.headers, [](const transport::header& field) {
        return boost::beast::iequals(field.name, "Authorization");
    });
    if (parent && !key) {
        const auto checked = verified(*parent, rules);
        if (!checked) {
            return parent_not_running();
        }
        adopt_parent(call, *checked, rules.self);
    } else {
        call.needs_key = true;
        if (auto trouble = identify_account(call, key, rules.configuration)) {
            return trouble;
        }
    }
    if (!call.context.account.empty()) {
        call.headers.push_back({"Monsoonlift-Account", call.context.account});
    }
    return std::nullopt;
}

} // namespace

void adopt_parent(parsed_call& call, const gate::context_token& parent, core::incarnation self) {
    call.context.root = parent.root;
    call.context.depth = parent.depth + 1;
    if (parent.issuer == self) {
        call.context.rank = parent.rank;
        call.context.deadline = std::min(call.context.deadline, parent.deadline);
        call.context.account = parent.account;
        call.context.position = parent.position;
        call.context.work_spent = parent.work_spent;
    }
    call.parent = parent;
}

problem malformed(std::string type, std::string detail) {
    return {400, core::verdict::not_run, std::move(type), "The request is malformed", std::move(detail), {}};
}

problem not_known(std::string type, std::string detail) {
    return {404, core::verdict::not_run, std::move(type), "Not known to the configuration", std::move(detail),
            {}};
}

std::optional<problem> check_target(std::string_view target) {
    if (target.empty() || target.front() != '/') {
        return malformed("bad-target", "the request target must be a path that begins with /");
    }
    return std::nullopt;
}

std::optional<milliseconds> parse_milliseconds(std::string_view text, milliseconds shortest) {
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_integer = failure == std::errc() && end == text.data() + text.size();
    if (!is_integer || milliseconds(value) < shortest || milliseconds(value) > max_timeout) {
        return std::nullopt;
    }
    return milliseconds(value);
}

std::vector<transport::header> headers_to_pass(const request_fields& request) {
    std::string_view connection;
    for (const auto& field : request.headers) {
        connection =
            boost::beast::iequals(field.name, "Connection") ? std::string_view(field.value) : connection;
    }
    std::vector<transport::header> passed;
    passed.reserve(request.headers.size());
    for (const auto& field : request.headers) {
        const bool is_removed = transfer::is_own(field.name) || transfer::is_hop_by_hop(field.name) ||
                                transfer::is_listed(connection, field.name);
        if (!is_removed) {
            passed.push_back(field);
        }
    }
    return passed;
}

std::variant<std::string_view, problem> single_header(const request_fields& request, std::string_view name) {
    std::string_view value;
    bool seen = false;
    for (const auto& field : request.headers) {
        if (!boost::beast::iequals(field.name, name)) {
            continue;
        }
        if (seen) {
            return malformed("repeated-header", "the header " + std::string(name) + " is given twice");
        }
        seen = true;
        value = field.value;
    }
    if (seen && value.empty()) {
        return malformed("empty-header", "the header " + std::string(name) + " is empty");
    }
    return value;
}

std::variant<parsed_call, problem> parse_call(const request_fields& request, const parsing_rules& rules,
                                              core::steady_time now) {
    own_fields fields;
    if (auto trouble = read_own_fields(request, fields)) {
        return *std::move(trouble);
    }
    if (auto trouble = check_names(request, fields)) {
        return *std::move(trouble);
    }
    const auto timeout = parse_milliseconds(fields.timeout, 1ms);
    if (!fields.timeout.empty() && !timeout) {
        return malformed("bad-timeout", "Monsoonlift-Timeout-Ms must be a whole number from 1 to 600000");
    }
    const auto parent = gate::parse_context_token(fields.context);
    if (!fields.context.empty() && !parent) {
        return malformed("bad-context", "Monsoonlift-Context must be passed on unchanged");
    }
    const auto* service = configuration::find_service(rules.configuration, fields.service);
    if (service == nullptr) {
        return not_known("unknown-service", "no service is named " + std::string(fields.service));
    }
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto* rule = configuration::find_call(*service, request.method, path);
    if (rule == nullptr) {
        return not_known("unknown-call",
                         service->name + " has no call for " + request.method + " " + std::string(path));
    }
    const auto patience = patience_of(rules.configuration, *rule, fields.caller, rules.default_patience);
    parsed_call call;
    call.service = service->name;
    call.kind = rule->name;
    call.context.rank = rule->rank;
    call.context.idempotent = rule->idempotent;
    call.context.caller = fields.caller;
    call.context.key = fields.key;
    call.context.deadline = now + std::min(patience, timeout.value_or(patience));
    call.headers = headers_to_pass(request);
    // NOTE: the gate adds the Idempotency-Key field again from the call's context.
    std::erase_if(call.headers, [](const transport::header& field) {
        return boost::beast::iequals(field.name, "Idempotency-Key");
    });
    if (rules.configuration.accounts) {
        if (auto trouble = set_account(call, request, parent, rules)) {
            return *std::move(trouble);
        }
    } else if (parent) {
        adopt_parent(call, *parent, rules.self);
    }
    return call;
}

} // namespace monsoonlift::entry
