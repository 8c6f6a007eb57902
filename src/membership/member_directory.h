/// The members of the fleet that this daemon knows. Thread-safe; shared by the entry, the gate and
/// administration.
#pragma once

#include "membership/types/member.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::membership {

/// Table of members with change notification. Handlers run on the thread that made the change, without the
/// table's lock held.
class member_directory {
public:
    using change_handler = std::function<void(const member&)>;

    /// All members known.
    [[nodiscard]] std::vector<member> members() const;

    /// The member at that transport address, or nothing.
    [[nodiscard]] std::optional<member> find(const std::string& address) const;

    /// Stores a member and calls the handlers if its record changed.
    void store(const member& changed);

    /// Removes the member at that transport address without calling the handlers.
    void forget(const std::string& address);

    /// Adds a handler; call it before threads start.
    void on_change(change_handler handler);

private:
    mutable std::mutex m_mutex;
    std::vector<member> m_members;
    std::vector<change_handler> m_handlers;
};

} // namespace monsoonlift::membership
