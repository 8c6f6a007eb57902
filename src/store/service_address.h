#pragma once

#include <mutex>
#include <string>
#include <utility>

namespace monsoonlift::store {

/// The "ip:port" of the platform's API, which may change while calls are made. Thread-safe.
class service_address {
public:
    explicit service_address(std::string first) : m_address(std::move(first)) {}

    /// The address for the next call.
    [[nodiscard]] std::string current() const {
        const std::scoped_lock lock(m_mutex);
        return m_address;
    }

    /// Calls in progress still end at the address that they were sent to.
    void replace(std::string next) {
        const std::scoped_lock lock(m_mutex);
        m_address = std::move(next);
    }

private:
    mutable std::mutex m_mutex;
    std::string m_address;
};

} // namespace monsoonlift::store
