#include "entry/identify_account.h"

#include <boost/beast/core/string.hpp>

#include <string>
#include <utility>

namespace monsoonlift::entry {

namespace {

constexpr unsigned status_unauthorized = 401;

problem missing_key(const std::string& revision) {
    return {status_unauthorized,
            core::verdict::not_run,
            "missing-key",
            "An API key is required",
            "the request carries no API key, and its route isn't public in " + revision,
            {}};
}

problem unknown_key(std::string detail) {
    return {status_unauthorized,        core::verdict::not_run, "unknown-key",
            "The API key is not valid", std::move(detail),      {}};
}

} // namespace

std::optional<problem> identify_account(parsed_call& call, std::optional<std::string_view> key,
                                        const configuration::document& configuration) {
    if (!configuration.accounts) {
        return std::nullopt;
    }
    const bool is_whole = key && !key->empty();
    const auto* holder = is_whole ? accounts::find_by_key(*configuration.accounts, *key) : nullptr;
    if (holder != nullptr) {
        call.context.account = holder->name;
        call.context.rank = holder->rank.value_or(call.context.rank);
        return std::nullopt;
    }
    if (!call.needs_key) {
        return std::nullopt;
    }
    const auto revision = "revision " + std::to_string(configuration.revision) + " of the configuration";
    if (!key) {
        return missing_key(revision);
    }
    return is_whole ? unknown_key("no account holds this API key in " + revision)
                    : unknown_key("the request doesn't carry one Authorization field with Token and a key");
}

problem parent_not_running() {
    return {503,
            core::verdict::not_run,
            "parent-not-running",
            "The request that makes this call is not running here",
            "the call carries no API key, and the request that its id names as its parent has ended",
            {}};
}

std::optional<std::string_view> key_of(const request_fields& request) {
    std::optional<std::string_view> key;
    for (const auto& field : request.headers) {
        if (!boost::beast::iequals(field.name, "Authorization")) {
            continue;
        }
        if (key) {
            return std::string_view();
        }
        key = key_in(field.value);
    }
    return key;
}

std::string_view key_in(std::string_view authorization) {
    constexpr std::string_view scheme = "Token ";
    const auto begin = authorization.substr(0, scheme.size());
    if (!boost::beast::iequals({begin.data(), begin.size()}, {scheme.data(), scheme.size()})) {
        return {};
    }
    authorization.remove_prefix(scheme.size());
    const auto first = authorization.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view() : authorization.substr(first);
}

std::optional<gate::context_token> verified(const gate::context_token& token, const parsing_rules& rules) {
    if (rules.runs == nullptr || token.issuer != rules.self) {
        return std::nullopt;
    }
    const auto known = rules.runs->origin(token.run);
    if (!known || known->root != token.root || known->depth != token.depth) {
        return std::nullopt;
    }
    auto checked = token;
    checked.rank = known->rank;
    checked.account = known->account;
    checked.position = known->position;
    return checked;
}

} // namespace monsoonlift::entry
