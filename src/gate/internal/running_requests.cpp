#include "gate/running_requests.h"

namespace monsoonlift::gate {

bool running_requests::names_nested_call(std::string_view name) {
    const auto dot = name.rfind('.');
    return dot != std::string_view::npos && dot > 0;
}

void running_requests::begin(const std::string& name, const context_token& token) {
    const std::scoped_lock lock(m_mutex);
    m_running.insert_or_assign(name, token);
}

void running_requests::end(const std::string& name, std::uint64_t run) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_running.find(name);
    if (found != m_running.end() && found->second.run == run) {
        m_running.erase(found);
    }
}

std::optional<context_token> running_requests::find_parent(std::string_view name) const {
    const std::scoped_lock lock(m_mutex);
    auto dot = name.rfind('.');
    while (dot != std::string_view::npos && dot > 0) {
        const auto found = m_running.find(name.substr(0, dot));
        if (found != m_running.end()) {
            return found->second;
        }
        dot = name.rfind('.', dot - 1);
    }
    return std::nullopt;
}

} // namespace monsoonlift::gate
