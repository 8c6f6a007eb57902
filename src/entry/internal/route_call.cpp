#include "entry/route_call.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace monsoonlift::entry {

namespace {

constexpr std::size_t max_request_id_length = 128;

/// Converts the caller's request id to a root id: its own digits, padded with zeros, if it is hexadecimal and
/// short enough, so that it can be recognised in logs, else a hash of it.
core::root_id root_of(std::string_view id) {
    core::root_id root;
    constexpr std::size_t digits = 2 * sizeof(root.bytes);
    if (id.size() <= digits) {
        const auto padded = std::string(id) + std::string(digits - id.size(), '0');
        if (const auto read = core::parse_root_id(padded)) {
            return *read;
        }
    }
    const auto hash = XXH3_128bits(id.data(), id.size());
    for (std::size_t index = 0; index < sizeof(hash.low64); ++index) {
        root.bytes[index] = static_cast<std::uint8_t>(hash.low64 >> (8 * index));
        root.bytes[index + sizeof(hash.low64)] = static_cast<std::uint8_t>(hash.high64 >> (8 * index));
    }
    return root;
}

/// Hashes request id and route name to a point in [0, 1) for choosing a destination; independent of the hash
/// of the root id by which calls are shed.
double point_of(std::string_view id, const std::string& route) {
    const auto seed = XXH3_64bits(route.data(), route.size());
    constexpr double values = 18446744073709551616.0; // 2^64
    return static_cast<double>(XXH3_64bits_withSeed(id.data(), id.size(), seed)) / values;
}

std::chrono::milliseconds patience_of(const configuration::route_rule& route, const routed_request& request,
                                      const parsing_rules& rules) {
    const auto asked = request.time_left.value_or(rules.default_patience);
    return route.timeout > std::chrono::milliseconds::zero() ? std::min(asked, route.timeout) : asked;
}

} // namespace

std::variant<parsed_call, problem> route_call(const routed_request& request, const parsing_rules& rules,
                                              core::steady_time now) {
    if (auto trouble = check_target(request.target)) {
        return *std::move(trouble);
    }
    if (request.id.size() > max_request_id_length) {
        return malformed("bad-request-id", "the request's id must be at most 128 characters");
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto* route = configuration::find_route(rules.configuration, request.host, path);
    const auto* destination = route != nullptr
                                  ? configuration::pick_destination(*route, point_of(request.id, route->name))
                                  : nullptr;
    if (destination == nullptr) {
        auto trouble = not_known("unknown-route",
                                 "no route leads from " + std::string(request.host) + std::string(path));
        if (!request.id.empty()) {
            trouble.request = root_of(request.id);
        }
        return trouble;
    }
    parsed_call call;
    call.service = destination->service;
    if (!request.id.empty()) {
        call.request = root_of(request.id);
    }
    call.kind = route->name;
    call.latency_objective = route->latency_objective;
    call.attempts = route->attempts;
    call.needs_key = rules.configuration.accounts && !route->is_public;
    call.context.rank = route->rank;
    call.context.idempotent = route->idempotent;
    call.context.deadline = now + patience_of(*route, request, rules);
    return call;
}

} // namespace monsoonlift::entry
