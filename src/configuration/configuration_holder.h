#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "configuration/types/stored_configuration.h"
#include "logging/event_log.h"

namespace monsoonlift::configuration {

/// Outcome of offering a configuration to a configuration_holder.
enum class adoption {
    adopted,   ///< It is in force now.
    not_newer, ///< The revision in force is as high or higher.
    refused    ///< Its digest does not match or its document is invalid.
};

/// Holds the configuration in force in this process. Only a higher revision replaces it, so the revision
/// never decreases. Thread-safe; its mutex is a leaf in the lock order: no other code is called while it is
/// held.
class configuration_holder {
public:
    /// Called with the new revision, on the thread that adopted it, without holding the lock.
    using change_handler = std::function<void(std::uint64_t revision, const document& rules)>;

    /// Creates a holder without a configuration; `log` must outlive it.
    explicit configuration_holder(logging::event_log& log);

    /// Puts a configuration in force if its digest matches, its document is valid and its revision is higher
    /// than the one in force.
    adoption adopt(const stored_configuration& offered);

    /// Returns the document in force; nullptr until one has been adopted. Cheap: one lock and one
    /// reference count.
    [[nodiscard]] std::shared_ptr<const document> current() const;

    /// Returns the revision in force; 0 until one has been adopted.
    [[nodiscard]] std::uint64_t revision() const;

    /// Returns the JSON served to peers: the configuration in force without its audit trail; empty until one
    /// has been adopted.
    [[nodiscard]] std::string peer_copy() const;

    /// Adds a change handler. Call it before other threads use the holder.
    void on_change(change_handler handler);

private:
    struct adopted_configuration {
        std::uint64_t revision = 0;
        std::string peer_copy;
        document rules;
    };

    [[nodiscard]] std::shared_ptr<const adopted_configuration> snapshot() const;
    [[nodiscard]] bool replace(const std::shared_ptr<const adopted_configuration>& next);
    adoption refuse(const stored_configuration& offered, const std::string& reason);

    logging::event_log& m_log;
    mutable std::mutex m_mutex;
    std::shared_ptr<const adopted_configuration> m_current;
    std::vector<change_handler> m_handlers;
};

} // namespace monsoonlift::configuration
