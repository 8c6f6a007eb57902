#include "admin/announcement.h"

#include "core/network_address.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <optional>

namespace monsoonlift::admin {

namespace {

constexpr std::int64_t most_slots = 100'000;
constexpr std::size_t max_name_length = 64;

std::optional<std::string> text_at(const boost::json::object& fields, std::string_view name) {
    const auto* value = fields.if_contains(name);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::optional<std::uint32_t> count_at(const boost::json::object& fields, std::string_view name) {
    const auto* value = fields.if_contains(name);
    if (value == nullptr || !value->is_int64()) {
        return std::nullopt;
    }
    const auto count = value->get_int64();
    if (count < 1 || count > most_slots) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(count);
}

bool is_address(const std::string& text) {
    const auto address = core::parse_network_address(text);
    return address && address->port != 0;
}

} // namespace

std::variant<gate::backend_server, announcement_error> parse_announcement(std::string_view json_text) {
    boost::system::error_code failure;
    const auto document = boost::json::parse({json_text.data(), json_text.size()}, failure);
    if (failure || !document.is_object()) {
        return announcement_error{"the announcement is not a JSON object"};
    }
    const auto& fields = document.get_object();
    const auto service = text_at(fields, "service");
    const auto address = text_at(fields, "address");
    const auto slots = count_at(fields, "slots");
    const auto connections = count_at(fields, "connections");
    if (!service || service->size() > max_name_length) {
        return announcement_error{"service must be a name of 1 to 64 characters"};
    }
    if (!address || !is_address(*address)) {
        return announcement_error{"address must be ip:port"};
    }
    if (!slots || !connections) {
        return announcement_error{"slots and connections must be whole numbers from 1 to 100000"};
    }
    const bool has_instance = fields.contains("instance");
    const auto instance = text_at(fields, "instance");
    if (has_instance && (!instance || instance->size() > max_name_length)) {
        return announcement_error{"instance must be a text of 1 to 64 characters"};
    }
    return gate::backend_server{*service, *address, *slots, *connections, instance.value_or(std::string())};
}

} // namespace monsoonlift::admin
