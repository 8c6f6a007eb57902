/// JSON forms of the platform's metadata store. Everything that comes from outside is checked whole.
#pragma once

#include "store/object_api.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::platform {

/// One object as the store keeps it.
struct stored_object {
    std::string name;
    std::uint64_t version = 0;     ///< `Rev`: the store's revision at the object's last change.
    boost::json::value content;    ///< `Spec`; null if it is missing or can't be read.
    bool is_being_removed = false; ///< `Deleting`: removal waits for finalizers.
};

/// One page of a list.
struct stored_page {
    std::uint64_t revision = 0; ///< `StoreRevision`.
    std::vector<stored_object> objects;
    bool has_more = false; ///< `More`: the next page begins after the last name.
};

/// One change that a watch told.
struct stored_change {
    stored_object object;
    bool removed = false;
};

/// What a watch returned.
struct stored_changes {
    std::uint64_t revision = 0; ///< `StoreRevision`: to go on from.
    std::vector<stored_change> changes;
};

/// The object of that text, or nothing if it is none. Content that can't be read is null.
[[nodiscard]] std::optional<stored_object> decode_object(std::string_view text);

/// The page of that text, or nothing. Objects in it that can't be read are left out.
[[nodiscard]] std::optional<stored_page> decode_page(std::string_view text);

/// The changes of that text, or nothing. Changes of objects that can't be read are left out.
[[nodiscard]] std::optional<stored_changes> decode_changes(std::string_view text);

/// The body of a write: creates the object if `expected_version` is 0, else replaces it at that version.
[[nodiscard]] std::string encode_write(std::string_view name, std::uint64_t expected_version,
                                       std::string_view value);

} // namespace monsoonlift::platform
