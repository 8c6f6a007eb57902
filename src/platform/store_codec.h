/// JSON encoding of the platform's metadata store. All received data is validated.
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

/// One object in the platform's store.
struct stored_object {
    std::string name;
    std::uint64_t version = 0;     ///< `Rev`: the store's revision at the object's last change.
    boost::json::value content;    ///< `Spec`; null if it is missing or malformed.
    bool is_being_removed = false; ///< `Deleting`: removal waits for finalizers.
};

/// One page of a list.
struct stored_page {
    std::uint64_t revision = 0; ///< `StoreRevision`.
    std::vector<stored_object> objects;
    bool has_more = false; ///< `More`: the next page begins after the last name of this one.
};

/// One change reported by a watch.
struct stored_change {
    stored_object object;
    bool removed = false;
};

/// Result of a watch.
struct stored_changes {
    std::uint64_t revision = 0; ///< `StoreRevision`: from which to continue the watch.
    std::vector<stored_change> changes;
};

/// Decodes an object; returns nothing if its metadata is missing or malformed. Malformed content is null.
[[nodiscard]] std::optional<stored_object> decode_object(std::string_view text);

/// Decodes a page; returns nothing if it has no revision or list. Malformed objects in it are skipped.
[[nodiscard]] std::optional<stored_page> decode_page(std::string_view text);

/// Decodes the result of a watch; returns nothing if it has no revision or list. Changes of malformed objects
/// are skipped.
[[nodiscard]] std::optional<stored_changes> decode_changes(std::string_view text);

/// Encodes the body of a write, which creates the object if `expected_version` is 0 and otherwise replaces it
/// at that version.
[[nodiscard]] std::string encode_write(std::string_view name, std::uint64_t expected_version,
                                       std::string_view value);

} // namespace monsoonlift::platform
