#include "app/platform_standin/request_handler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "store/limits.h"
#include "store/object_wire.h"

namespace monsoonlift::platform_standin {

namespace json = boost::json;

namespace {

constexpr std::string_view objects_path = "/objects/";
constexpr std::chrono::milliseconds max_watch{60'000};

/// Changes within this time of a copy go into the same copy.
constexpr std::chrono::milliseconds copy_interval{100};
constexpr std::size_t most_copies = 100;

standin_reply problem(unsigned status, const std::string& text) {
    return {status, json::serialize(json::object{{"error", text}})};
}

std::string text_in(const store::http_target& target, const std::string& name) {
    const auto found = target.query.find(name);
    return found == target.query.end() ? std::string{} : found->second;
}

standin_reply reply_to_write(standin_state& state, std::optional<std::uint64_t> version) {
    if (!version) {
        ++state.counts.conflicts;
        return problem(409, "the object has another version");
    }
    notify_waiting(state);
    return {200, store::version_json(*version)};
}

standin_reply get_object(standin_state& state, const std::string& name) {
    ++state.counts.get;
    const auto found = state.store.get(name);
    return found ? standin_reply{200, store::to_json(*found)} : problem(404, "no such object");
}

standin_reply put_object(standin_state& state, const std::string& name, const store::http_target& target,
                         const std::string& value) {
    ++state.counts.update;
    const auto expected = store::number_in(target, "expected_version");
    if (!expected || name.empty()) {
        return problem(400, "a name and ?expected_version=N are needed");
    }
    if (value.size() > store::max_value_bytes) {
        return problem(413, "a value holds at most one megabyte");
    }
    return reply_to_write(state, state.store.update_if(name, *expected, value));
}

standin_reply delete_object(standin_state& state, const std::string& name, const store::http_target& target) {
    ++state.counts.remove;
    const auto expected = store::number_in(target, "expected_version");
    if (!expected) {
        return problem(400, "?expected_version=N is needed");
    }
    if (!state.store.get(name)) {
        return problem(404, "no such object");
    }
    return reply_to_write(state, state.store.remove_if(name, *expected));
}

standin_reply handle_object(standin_state& state, const standin_request& request,
                            const store::http_target& target) {
    const auto name = target.path.substr(objects_path.size());
    if (request.method == "GET") {
        return get_object(state, name);
    }
    if (request.method == "PUT") {
        return put_object(state, name, target, request.body);
    }
    if (request.method == "DELETE") {
        return delete_object(state, name, target);
    }
    return problem(405, "GET, PUT or DELETE");
}

handling begin_watch(standin_state& state, const store::http_target& target) {
    ++state.counts.watch;
    const auto revision = store::number_in(target, "revision");
    const auto patience = store::number_in(target, "patience_ms");
    if (!revision || !patience) {
        return problem(400, "?revision=N&patience_ms=N are needed");
    }
    const auto bounded = std::min<std::uint64_t>(*patience, max_watch.count());
    return resume(state,
                  pending_watch{text_in(target, "prefix"), *revision, std::chrono::milliseconds(bounded)},
                  false);
}

handling set_faults(standin_state& state, const std::string& body) {
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object()) {
        return problem(400, "a JSON object is needed");
    }
    try {
        const auto& fields = parsed.as_object();
        fault_plan plan;
        plan.outage = fields.contains("outage") && fields.at("outage").as_bool();
        plan.silent = fields.contains("silent") && fields.at("silent").as_bool();
        if (const auto* slow = fields.if_contains("slow_ms")) {
            plan.slow = std::chrono::milliseconds(slow->to_number<std::uint32_t>());
        }
        if (const auto* lost = fields.if_contains("lose_answers")) {
            plan.lose_answers = lost->to_number<double>();
        }
        state.faults = plan;
    } catch (const std::exception& wrong) {
        return problem(400, wrong.what());
    }
    notify_waiting(state);
    return standin_reply{200, "{}"};
}

standin_reply stats(const standin_state& state) {
    const auto& counts = state.counts;
    const json::object calls{{"get", counts.get},
                             {"list", counts.list},
                             {"update", counts.update},
                             {"remove", counts.remove},
                             {"watch", counts.watch}};
    return {200, json::serialize(json::object{{"revision", state.store.revision()},
                                              {"objects", state.store.list("").objects.size()},
                                              {"calls", calls},
                                              {"conflicts", counts.conflicts},
                                              {"refused_in_outage", counts.refused_in_outage},
                                              {"answers_lost", counts.answers_lost},
                                              {"waiting_watches", state.waiting.size()}})};
}

/// Restores the store; the body is {"age_ms": N}.
handling restore_store(standin_state& state, const std::string& body) {
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    const auto* fields = failure ? nullptr : parsed.if_object();
    const auto* age = fields == nullptr ? nullptr : fields->if_contains("age_ms");
    const auto number = age == nullptr ? 0 : age->to_number<std::uint32_t>(failure);
    if (age == nullptr || failure) {
        return problem(400, "expected {\"age_ms\": N}");
    }
    restore(state, std::chrono::milliseconds(number), std::chrono::steady_clock::now());
    return standin_reply{200, "{}"};
}

void keep_copy(standin_state& state, std::chrono::steady_clock::time_point now) {
    auto& copies = state.copies;
    if (!copies.empty() && copies.back().store.revision() == state.store.revision()) {
        return;
    }
    if (!copies.empty() && now - copies.back().taken < copy_interval) {
        copies.back().store = state.store;
        return;
    }
    copies.push_back({now, state.store});
    if (copies.size() > most_copies) {
        copies.pop_front();
    }
}

handling refuse_in_outage(standin_state& state) {
    ++state.counts.refused_in_outage;
    if (state.faults.silent) {
        return no_answer{};
    }
    return problem(503, "out of service");
}

} // namespace

handling apply_faults(standin_state& state, standin_reply reply) {
    reply.delay = state.faults.slow;
    return reply;
}

handling apply_write_faults(standin_state& state, standin_reply reply) {
    reply.lost = std::uniform_real_distribution<double>(0, 1)(state.random) < state.faults.lose_answers;
    if (reply.lost) {
        ++state.counts.answers_lost;
    }
    return apply_faults(state, std::move(reply));
}

std::uint64_t call_at_next_change(standin_state& state, std::function<void()> wake) {
    state.waiting.emplace(++state.last_key, std::move(wake));
    return state.last_key;
}

void cancel_callback(standin_state& state, std::uint64_t key) {
    state.waiting.erase(key);
}

void restore(standin_state& state, std::chrono::milliseconds age, std::chrono::steady_clock::time_point now) {
    while (!state.copies.empty() && now - state.copies.back().taken < age) {
        state.copies.pop_back();
    }
    state.store = state.copies.empty() ? store::testing::memory_store() : state.copies.back().store;
    ++state.era;
    notify_waiting(state);
}

void notify_waiting(standin_state& state) {
    keep_copy(state, std::chrono::steady_clock::now());
    const auto waiting = std::exchange(state.waiting, {});
    for (const auto& [key, wake] : waiting) {
        wake();
    }
}

handling handle(standin_state& state, const standin_request& request) {
    const auto target = store::parse_target(request.target);
    if (!target) {
        return problem(400, "malformed target");
    }
    if (target->path == "/faults" && request.method == "POST") {
        return set_faults(state, request.body);
    }
    if (target->path == "/restore" && request.method == "POST") {
        return restore_store(state, request.body);
    }
    if (target->path == "/stats") {
        return stats(state);
    }
    if (state.faults.outage) {
        return refuse_in_outage(state);
    }
    if (state.more_paths) {
        if (auto outcome = state.more_paths(state, request)) {
            return *std::move(outcome);
        }
    }
    if (target->path.starts_with(objects_path)) {
        auto reply = handle_object(state, request, *target);
        return request.method == "GET" ? apply_faults(state, std::move(reply))
                                       : apply_write_faults(state, std::move(reply));
    }
    if (target->path == "/list") {
        ++state.counts.list;
        return apply_faults(state, {200, store::to_json(state.store.list(text_in(*target, "prefix")))});
    }
    if (target->path == "/watch") {
        return begin_watch(state, *target);
    }
    return problem(404, "no such resource");
}

handling resume(standin_state& state, const pending_watch& watch, bool expired) {
    if (state.faults.outage) {
        return refuse_in_outage(state);
    }
    if (watch.revision > state.store.revision()) {
        return problem(410, "no such revision");
    }
    const auto changes = state.store.changes_since(watch.prefix, watch.revision);
    const bool empty = changes.changed.empty() && changes.removed.empty();
    if (empty && !expired) {
        return watch;
    }
    return standin_reply{200, watch.encode(changes), state.faults.slow};
}

} // namespace monsoonlift::platform_standin
