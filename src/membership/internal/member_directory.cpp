#include "membership/member_directory.h"

#include "core/go_on.h"

#include <algorithm>

namespace monsoonlift::membership {

std::vector<member> member_directory::members() const {
    const std::scoped_lock lock(m_mutex);
    return m_members;
}

std::optional<member> member_directory::find(const std::string& address) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = std::find_if(m_members.begin(), m_members.end(),
                                    [&](const member& known) { return known.id.address == address; });
    if (found == m_members.end()) {
        return std::nullopt;
    }
    return *found;
}

void member_directory::store(const member& changed) {
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const member& known) {
            return known.id.address == changed.id.address;
        });
        if (found == m_members.end()) {
            m_members.push_back(changed);
        } else if (*found == changed) {
            return;
        } else {
            *found = changed;
        }
    }
    core::for_each_apart(m_handlers, [&](const change_handler& handler) { handler(changed); });
}

void member_directory::forget(const std::string& address) {
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_members, [&](const member& known) { return known.id.address == address; });
}

void member_directory::on_change(change_handler handler) {
    m_handlers.push_back(std::move(handler));
}

} // namespace monsoonlift::membership
