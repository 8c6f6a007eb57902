#include "execution/home_directory.h"

namespace monsoonlift::execution {

std::optional<known_home> home_directory::find(const std::string& service, const std::string& key) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    const known_home& home = found->second[slot_of(key)];
    return home.gate.address.empty() ? std::nullopt : std::optional(home);
}

void home_directory::learn(const std::string& service, const std::string& key, const known_home& home) {
    const std::scoped_lock lock(m_mutex);
    known_home& known = m_services[service][slot_of(key)];
    if (home.version >= known.version) {
        known = home;
    }
}

void home_directory::forget(const std::string& service, const std::string& key,
                            const core::endpoint_id& gate) {
    const std::scoped_lock lock(m_mutex);
    known_home& known = m_services[service][slot_of(key)];
    if (known.gate == gate) {
        known.gate = {};
    }
}

} // namespace monsoonlift::execution
