#include "store/object_wire.h"

#include <boost/json.hpp>

namespace monsoonlift::store {

namespace json = boost::json;

namespace {

json::object object_value(const object& stored) {
    return {{"name", stored.name}, {"version", stored.version}, {"value", stored.value}};
}

json::array object_values(const std::vector<object>& objects) {
    json::array values;
    for (const auto& each : objects) {
        values.emplace_back(object_value(each));
    }
    return values;
}

object read_object(const json::value& value) {
    object stored;
    stored.name = json::value_to<std::string>(value.at("name"));
    stored.version = value.at("version").to_number<std::uint64_t>();
    stored.value = json::value_to<std::string>(value.at("value"));
    return stored;
}

std::vector<object> read_objects(const json::value& value) {
    std::vector<object> objects;
    for (const auto& each : value.as_array()) {
        objects.push_back(read_object(each));
    }
    return objects;
}

template <class Reader>
auto parse_as(std::string_view text, Reader read) -> std::optional<decltype(read(json::value{}))> {
    try {
        return read(json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string to_json(const object& stored) {
    return json::serialize(object_value(stored));
}

std::string to_json(const object_list& listed) {
    return json::serialize(
        json::object{{"revision", listed.revision}, {"objects", object_values(listed.objects)}});
}

std::string to_json(const watch_result& changes) {
    json::array removed;
    for (const auto& name : changes.removed) {
        removed.emplace_back(name);
    }
    return json::serialize(json::object{{"revision", changes.revision},
                                        {"changed", object_values(changes.changed)},
                                        {"removed", std::move(removed)}});
}

std::string version_json(std::uint64_t version) {
    return json::serialize(json::object{{"version", version}});
}

std::optional<object> parse_object(std::string_view text) {
    return parse_as(text, read_object);
}

std::optional<object_list> parse_object_list(std::string_view text) {
    return parse_as(text, [](const json::value& value) {
        return object_list{value.at("revision").to_number<std::uint64_t>(),
                           read_objects(value.at("objects"))};
    });
}

std::optional<watch_result> parse_watch_result(std::string_view text) {
    return parse_as(text, [](const json::value& value) {
        watch_result changes;
        changes.revision = value.at("revision").to_number<std::uint64_t>();
        changes.changed = read_objects(value.at("changed"));
        for (const auto& name : value.at("removed").as_array()) {
            changes.removed.push_back(json::value_to<std::string>(name));
        }
        return changes;
    });
}

std::optional<std::uint64_t> parse_version(std::string_view text) {
    return parse_as(text,
                    [](const json::value& value) { return value.at("version").to_number<std::uint64_t>(); });
}

} // namespace monsoonlift::store
