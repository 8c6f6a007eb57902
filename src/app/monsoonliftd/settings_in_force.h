#pragma once

#include "settings/daemon_settings.h"

#include <memory>
#include <mutex>
#include <utility>

namespace monsoonlift::app {

/// The settings that a daemon uses, which change when it reads its file again. Thread-safe.
class settings_in_force {
public:
    explicit settings_in_force(settings::daemon_settings first)
        : m_settings(std::make_shared<const settings::daemon_settings>(std::move(first))) {}

    [[nodiscard]] std::shared_ptr<const settings::daemon_settings> get() const {
        const std::scoped_lock lock(m_mutex);
        return m_settings;
    }

    void replace(settings::daemon_settings next) {
        auto replaced = std::make_shared<const settings::daemon_settings>(std::move(next));
        const std::scoped_lock lock(m_mutex);
        m_settings = std::move(replaced);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const settings::daemon_settings> m_settings;
};

} // namespace monsoonlift::app
