#pragma once

#include <string_view>

/// Header fields, paths and object kinds of the users' platform.
namespace monsoonlift::platform::wire {

inline constexpr std::string_view request_id_header = "X-Request-Id";
inline constexpr std::string_view time_left_header = "X-Deadline-Ms"; ///< Time left, not a point in time.
inline constexpr std::string_view expected_backend_header = "X-Expect-Instance";
inline constexpr std::string_view not_run_header = "X-Not-Executed";
inline constexpr std::string_view calling_service_header = "X-Caller-Service";
inline constexpr std::string_view account_header = "X-Tenant";            ///< Name of the client account.
inline constexpr std::string_view authorization_header = "Authorization"; ///< "Token" and the API key.
inline constexpr std::string_view authenticate_header = "WWW-Authenticate";
inline constexpr std::string_view store_era_header = "Store-Era"; ///< Rises with each restore of the store.
inline constexpr std::string_view retry_after_header = "Retry-After";

inline constexpr std::string_view ready_path = "/api/ready";
inline constexpr std::string_view heartbeat_path = "/api/Instances.Heartbeat/";   ///< The id follows.
inline constexpr std::string_view deregister_path = "/api/Instances.Deregister/"; ///< The id follows.
inline constexpr std::string_view objects_path = "/api/objects/";                 ///< Kind and name follow.

inline constexpr std::string_view configuration_kind = "config";
inline constexpr std::string_view configuration_name = "main";
inline constexpr std::string_view own_kinds_prefix =
    "monsoonlift-"; ///< Prefix of the object kinds that belong to this project.

} // namespace monsoonlift::platform::wire
