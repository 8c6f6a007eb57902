#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "store/object_api.h"

namespace monsoonlift::store::testing {

/// Versioned in-memory objects with the rules of the platform's store. An object's version is the store's
/// revision at its last change.
class memory_store {
public:
    /// Returns the object, or nothing if it doesn't exist.
    [[nodiscard]] std::optional<object> get(const std::string& name) const;

    /// Returns the objects whose names begin with `prefix`.
    [[nodiscard]] object_list list(const std::string& prefix) const;

    /// Returns the new version, or nothing if the object's version is not `expected_version`.
    [[nodiscard]] std::optional<std::uint64_t> update_if(const std::string& name,
                                                         std::uint64_t expected_version, std::string value);

    /// Returns the version of the removal, or nothing if the object's version is not `expected_version`.
    [[nodiscard]] std::optional<std::uint64_t> remove_if(const std::string& name,
                                                         std::uint64_t expected_version);

    /// Returns the changes and removals under `prefix` after `revision`.
    [[nodiscard]] watch_result changes_since(const std::string& prefix, std::uint64_t revision) const;

    /// The store's revision; increases with every change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    struct entry {
        std::uint64_t version = 0;
        std::optional<std::string> value; ///< Empty once the object is removed.
    };

    [[nodiscard]] std::uint64_t version_of(const std::string& name) const;

    std::uint64_t m_revision = 0;
    std::map<std::string, entry> m_entries;
};

} // namespace monsoonlift::store::testing
