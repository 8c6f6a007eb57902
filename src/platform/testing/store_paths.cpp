#include "platform/testing/store_paths.h"

#include "platform/internal/json_fields.h"
#include "platform/types/wire_names.h"
#include "store/http_target.h"
#include "store/limits.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace monsoonlift::platform::testing {

namespace json = boost::json;
using platform_standin::handling;
using platform_standin::pending_watch;
using platform_standin::standin_reply;
using platform_standin::standin_state;

namespace {

constexpr std::uint64_t longest_wait_ms = 30'000;

standin_reply fault(unsigned status, const std::string& text) {
    return {status, json::serialize(json::object{{"Error", text}})};
}

json::object metadata_of(std::string_view name, std::uint64_t version) {
    json::object metadata;
    metadata["Name"] = json::string(name.data(), name.size());
    metadata["Rev"] = version;
    metadata["Finalizers"] = json::array{};
    metadata["Deleting"] = false;
    return metadata;
}

json::object object_of(const store::object& stored) {
    const auto name = std::string_view(stored.name).substr(stored.name.find('/') + 1);
    json::object object;
    object["Metadata"] = metadata_of(name, stored.version);
    object["Spec"] = json::parse(stored.value);
    object["Status"] = nullptr;
    return object;
}

std::string page_of(const store::object_list& listed) {
    json::array items;
    for (const auto& stored : listed.objects) {
        items.emplace_back(object_of(stored));
    }
    return json::serialize(
        json::object{{"items", std::move(items)}, {"More", false}, {"StoreRevision", listed.revision}});
}

std::string events_of(const store::watch_result& changes) {
    json::array events;
    for (const auto& stored : changes.changed) {
        events.emplace_back(json::object{{"Deleted", false}, {"Object", object_of(stored)}});
    }
    for (const auto& name : changes.removed) {
        const auto bare = std::string_view(name).substr(name.find('/') + 1);
        events.emplace_back(json::object{
            {"Deleted", true}, {"Object", json::object{{"Metadata", metadata_of(bare, changes.revision)}}}});
    }
    return json::serialize(json::object{{"events", std::move(events)}, {"StoreRevision", changes.revision}});
}

/// Decoded body of a write; `name` is empty if the body is invalid.
struct written_object {
    std::string name;
    std::uint64_t version = 0;
    std::string content;
};

written_object read_write(const std::string& body) {
    const auto map = internal::parse_map(body);
    const auto* metadata = map ? internal::find_map(*map, "Metadata") : nullptr;
    const auto name = metadata != nullptr ? internal::find_text(*metadata, "Name") : std::nullopt;
    if (!name || !map->contains("Spec")) {
        return {};
    }
    written_object read;
    read.name = *name;
    read.version = internal::find_number(*metadata, "Rev").value_or(0);
    read.content = json::serialize(map->at("Spec"));
    return read;
}

standin_reply write(standin_state& state, const std::string& kind, const std::string& body) {
    const auto written = read_write(body);
    ++state.counts.update;
    if (written.name.empty()) {
        return fault(400, "no name or no content");
    }
    if (written.content.size() > 2 * store::max_value_bytes) {
        return fault(413, "too large");
    }
    const auto name = kind + "/" + written.name;
    if (!state.store.update_if(name, written.version, written.content)) {
        ++state.counts.conflicts;
        return fault(409, "another revision");
    }
    notify_waiting(state);
    return {200, json::serialize(object_of(*state.store.get(name)))};
}

standin_reply read(standin_state& state, const std::string& name) {
    ++state.counts.get;
    const auto found = state.store.get(name);
    return found ? standin_reply{200, json::serialize(object_of(*found))} : fault(404, "no such object");
}

standin_reply remove(standin_state& state, const std::string& name, const store::http_target& target) {
    ++state.counts.remove;
    const auto found = state.store.get(name);
    if (!found) {
        return fault(404, "no such object");
    }
    if (!state.store.remove_if(name, store::number_in(target, "Rev").value_or(found->version))) {
        ++state.counts.conflicts;
        return fault(409, "another revision");
    }
    notify_waiting(state);
    return {200, json::serialize(object_of(*found))};
}

handling list_or_watch(standin_state& state, const std::string& kind, const store::http_target& target) {
    const auto revision = store::number_in(target, "Watch");
    if (!revision) {
        ++state.counts.list;
        return platform_standin::apply_faults(state, {200, page_of(state.store.list(kind + "/"))});
    }
    ++state.counts.watch;
    pending_watch watch{
        kind + "/", *revision,
        std::chrono::milliseconds(std::min(store::number_in(target, "WaitMs").value_or(0), longest_wait_ms))};
    watch.encode = events_of;
    return resume(state, watch, false);
}

} // namespace

std::optional<handling> handle_store_call(standin_state& state,
                                          const platform_standin::standin_request& request) {
    const auto target = store::parse_target(request.target);
    if (!target || !target->path.starts_with(wire::objects_path)) {
        return std::nullopt;
    }
    state.era_field = wire::store_era_header;
    const auto path = target->path.substr(wire::objects_path.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    if (request.method == "GET" && slash == std::string::npos) {
        return list_or_watch(state, kind, *target);
    }
    if (request.method == "GET") {
        return platform_standin::apply_faults(state, read(state, path));
    }
    if (request.method == "POST" || request.method == "PUT") {
        return platform_standin::apply_write_faults(state, write(state, kind, request.body));
    }
    if (request.method == "DELETE") {
        return platform_standin::apply_write_faults(state, remove(state, path, *target));
    }
    return fault(405, "GET, POST, PUT or DELETE");
}

} // namespace monsoonlift::platform::testing
