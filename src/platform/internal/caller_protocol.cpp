#include "platform/caller_protocol.h"

#include "entry/identify_account.h"
#include "entry/route_call.h"
#include "platform/types/wire_names.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <utility>

namespace monsoonlift::platform {

using core::verdict;
using entry::problem;

namespace {

/// Headers that the daemon controls; values from the caller are dropped.
constexpr std::array daemon_headers{wire::time_left_header, wire::expected_backend_header,
                                    wire::calling_service_header};

bool same(std::string_view left, std::string_view right) {
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool is_daemon_header(std::string_view name) {
    return std::any_of(daemon_headers.begin(), daemon_headers.end(),
                       [name](std::string_view own) { return same(name, own); });
}

/// Headers that backend servers must not get from callers of a configuration with accounts.
bool is_account_header(std::string_view name) {
    return same(name, wire::account_header) || same(name, wire::authorization_header);
}

std::vector<transport::header> headers_to_pass(const entry::request_fields& request,
                                               const std::string& local_service) {
    auto passed = entry::headers_to_pass(request);
    std::erase_if(passed, [](const transport::header& field) { return is_daemon_header(field.name); });
    passed.push_back({std::string(wire::calling_service_header), local_service});
    return passed;
}

void replace_account_headers(std::vector<transport::header>& headers, const std::string& account) {
    std::erase_if(headers, [](const transport::header& field) { return is_account_header(field.name); });
    if (!account.empty()) {
        headers.push_back({std::string(wire::account_header), account});
    }
}

/// Sets in whose name the call is made: a nested call in that of its parent, a root call in that of its key.
/// A call with a key is a root call whatever its id: otherwise a caller that gives a request the id of a
/// running one, followed by a dot, would call in the name of that one's account, with any key and beyond its
/// quota.
std::optional<problem> set_account(entry::parsed_call& call, const entry::request_fields& request,
                                   std::string_view id, const entry::parsing_rules& rules,
                                   const gate::running_requests& running) {
    const auto key = rules.configuration.accounts ? entry::key_of(request) : std::nullopt;
    const auto parent = key ? std::nullopt : running.find_parent(id);
    if (parent) {
        entry::adopt_parent(call, *parent, rules.self);
        return std::nullopt;
    }
    if (call.needs_key && !key && gate::running_requests::names_nested_call(id)) {
        return entry::parent_not_running();
    }
    return entry::identify_account(call, key, rules.configuration);
}

std::variant<entry::parsed_call, problem>
parse(const entry::request_fields& request, const entry::parsing_rules& rules,
      const std::string& local_service, const gate::running_requests& running, core::steady_time now) {
    entry::routed_request routed;
    const std::pair<std::string_view, std::string_view*> headers_to_read[] = {
        {"Host", &routed.host}, {wire::request_id_header, &routed.id}};
    for (const auto& [name, target] : headers_to_read) {
        const auto found = entry::single_header(request, name);
        if (const auto* trouble = std::get_if<problem>(&found)) {
            return *trouble;
        }
        *target = std::get<std::string_view>(found);
    }
    const auto patience = entry::single_header(request, wire::time_left_header);
    if (const auto* trouble = std::get_if<problem>(&patience)) {
        return *trouble;
    }
    const auto text = std::get<std::string_view>(patience);
    routed.time_left = entry::parse_milliseconds(text, std::chrono::milliseconds::zero());
    if (!text.empty() && !routed.time_left) {
        return entry::malformed("bad-timeout", "X-Deadline-Ms must be a whole number from 0 to 600000");
    }
    routed.target = request.target;
    auto call = entry::route_call(routed, rules, now);
    if (auto* parsed = std::get_if<entry::parsed_call>(&call)) {
        parsed->headers = headers_to_pass(request, local_service);
        if (auto trouble = set_account(*parsed, request, routed.id, rules, running)) {
            trouble->request = parsed->request;
            return *std::move(trouble);
        }
        if (rules.configuration.accounts) {
            replace_account_headers(parsed->headers, parsed->context.account);
        }
    }
    return call;
}

constexpr unsigned status_unauthorized = 401;

/// Returns whether `status` guarantees to callers that the request has not run.
bool guarantees_not_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

unsigned status_of(const problem& trouble) {
    if (trouble.run != verdict::not_run && guarantees_not_run(trouble.status)) {
        return 502;
    }
    const bool is_ours = trouble.status >= 500 || trouble.status == 409;
    if (trouble.run == verdict::not_run && is_ours) {
        return 503;
    }
    return trouble.status;
}

/// Formats a duration in seconds with three decimals, as the platform's callers expect.
std::string seconds_text(std::chrono::milliseconds time) {
    std::array<char, 32> text{};
    const auto length =
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return {text.data(), static_cast<std::size_t>(length)};
}

transport::response_head tell(const problem& trouble) {
    transport::response_head head;
    head.status = status_of(trouble);
    head.headers.push_back({"Content-Type", "application/problem+json"});
    if (trouble.retry_after && guarantees_not_run(head.status)) {
        head.headers.push_back({std::string(wire::retry_after_header), seconds_text(*trouble.retry_after)});
    }
    if (head.status == status_unauthorized) {
        head.headers.push_back({std::string(wire::authenticate_header), "Token"});
    }
    auto sent = trouble;
    sent.status = head.status;
    head.body = entry::to_json(sent);
    return head;
}

} // namespace

entry::caller_protocol make_caller_protocol(std::string local_service,
                                            std::shared_ptr<const gate::running_requests> running) {
    entry::caller_protocol protocol;
    protocol.parse = [service = std::move(local_service), running = std::move(running)](
                         const entry::request_fields& request, const entry::parsing_rules& rules,
                         core::steady_time now) {
        return parse(request, rules, service, *running, now);
    };
    protocol.tell = tell;
    protocol.labels_answers = false;
    return protocol;
}

} // namespace monsoonlift::platform
