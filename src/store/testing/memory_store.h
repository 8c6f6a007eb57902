#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "store/object_api.h"

namespace monsoonlift::store::testing {

/// Versioned objects in memory, with the rules of the platform's store. An object's version is the store's
/// revision at its last change.
class memory_store {
public:
    /// The object, or nothing.
    [[nodiscard]] std::optional<object> get(const std::string& name) const;

    /// The objects under a prefix.
    [[nodiscard]] object_list list(const std::string& prefix) const;

    /// The new version, or nothing if the object has another version than expected.
    [[nodiscard]] std::optional<std::uint64_t> update_if(const std::string& name,
                                                         std::uint64_t expected_version, std::string value);

    /// The version of the removal, or nothing if the object has another version than expected.
    [[nodiscard]] std::optional<std::uint64_t> remove_if(const std::string& name,
                                                         std::uint64_t expected_version);

    /// What changed under a prefix after a revision.
    [[nodiscard]] watch_result changes_since(const std::string& prefix, std::uint64_t revision) const;

    /// The store's revision; rises with every change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    struct entry {
        std::uint64_t version = 0;
        std::optional<std::string> value; ///< Nothing once removed.
    };

    [[nodiscard]] std::uint64_t version_of(const std::string& name) const;

    std::uint64_t m_revision = 0;
    std::map<std::string, entry> m_entries;
};

} // namespace monsoonlift::store::testing
