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

/// What became of a revision that was offered.
enum class adoption {
    adopted,
    not_newer, ///< The revision in force is as high or higher.
    refused    ///< Its digest or its document is wrong.
};

/// The configuration in force in this process. Only a higher revision replaces it; it never goes back.
/// Thread-safe; its mutex is a leaf in the lock order: nothing is called while it is held.
class configuration_holder {
public:
    /// Called with the new revision, on the thread that adopted it, without the lock.
    using change_handler = std::function<void(std::uint64_t revision, const document& rules)>;

    /// Nothing is in force yet; `log` outlives the holder.
    explicit configuration_holder(logging::event_log& log);

    /// Puts a configuration in force if it is whole and its revision is higher.
    adoption adopt(const stored_configuration& offered);

    /// The rules in force; nullptr while none is known. Cheap: one lock and one count.
    [[nodiscard]] std::shared_ptr<const document> current() const;

    /// The revision in force; 0 while none is known.
    [[nodiscard]] std::uint64_t revision() const;

    /// The JSON that a peer pulls: the configuration in force without its audit trail; empty while none is
    /// known.
    [[nodiscard]] std::string peer_copy() const;

    /// Adds a handler; call it before threads start.
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
