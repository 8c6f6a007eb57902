#include "store/testing/memory_store.h"

#include <utility>

namespace monsoonlift::store::testing {

std::optional<object> memory_store::get(const std::string& name) const {
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || !found->second.value) {
        return std::nullopt;
    }
    return object{name, found->second.version, *found->second.value};
}

object_list memory_store::list(const std::string& prefix) const {
    object_list listed{m_revision, {}};
    for (auto at = m_entries.lower_bound(prefix); at != m_entries.end() && at->first.starts_with(prefix);
         ++at) {
        if (at->second.value) {
            listed.objects.push_back({at->first, at->second.version, *at->second.value});
        }
    }
    return listed;
}

std::uint64_t memory_store::version_of(const std::string& name) const {
    const auto found = m_entries.find(name);
    return found == m_entries.end() || !found->second.value ? 0 : found->second.version;
}

std::optional<std::uint64_t> memory_store::update_if(const std::string& name, std::uint64_t expected_version,
                                                     std::string value) {
    if (version_of(name) != expected_version) {
        return std::nullopt;
    }
    m_entries[name] = {++m_revision, std::move(value)};
    return m_revision;
}

std::optional<std::uint64_t> memory_store::remove_if(const std::string& name,
                                                     std::uint64_t expected_version) {
    if (expected_version == 0 || version_of(name) != expected_version) {
        return std::nullopt;
    }
    m_entries[name] = {++m_revision, std::nullopt};
    return m_revision;
}

watch_result memory_store::changes_since(const std::string& prefix, std::uint64_t revision) const {
    watch_result changes;
    changes.revision = m_revision;
    for (auto at = m_entries.lower_bound(prefix); at != m_entries.end() && at->first.starts_with(prefix);
         ++at) {
        if (at->second.version <= revision) {
            continue;
        }
        if (at->second.value) {
            changes.changed.push_back({at->first, at->second.version, *at->second.value});
        } else {
            changes.removed.push_back(at->first);
        }
    }
    return changes;
}

} // namespace monsoonlift::store::testing
