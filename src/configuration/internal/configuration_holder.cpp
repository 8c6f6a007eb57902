#include "configuration/configuration_holder.h"

#include <utility>

#include "configuration/document_reader.h"
#include "configuration/stored_configuration_json.h"
#include "core/go_on.h"

namespace monsoonlift::configuration {

namespace {

std::string make_peer_copy(stored_configuration stored) {
    stored.audit.clear();
    return to_json(stored);
}

} // namespace

configuration_holder::configuration_holder(logging::event_log& log) : m_log(log) {}

adoption configuration_holder::adopt(const stored_configuration& offered) {
    if (offered.revision <= revision()) {
        return adoption::not_newer;
    }
    if (offered.digest != digest_of(offered)) {
        return refuse(offered, "digest mismatch");
    }
    auto read = read_document(offered.document, accepted_limits);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&read)) {
        return refuse(offered, settings::to_string(errors->front()));
    }
    auto next = std::make_shared<adopted_configuration>(adopted_configuration{
        offered.revision, make_peer_copy(offered), std::move(std::get<document>(read))});
    next->rules.revision = offered.revision;
    if (!replace(next)) {
        return adoption::not_newer;
    }
    const auto write_line = [&] {
        const auto& left_out = next->rules.left_out;
        m_log.write(logging::event_id::configuration_adopted,
                    {{"revision", std::to_string(offered.revision)},
                     {"submission", offered.submission},
                     {"left_out", std::to_string(left_out.size())},
                     {"first_left_out", left_out.empty() ? std::string() : left_out.front()}});
    };
    const auto call_handlers = [&] {
        core::for_each_apart(m_handlers,
                             [&](const change_handler& handler) { handler(next->revision, next->rules); });
    };
    core::run_then(write_line, call_handlers);
    return adoption::adopted;
}

std::shared_ptr<const document> configuration_holder::current() const {
    const auto held = snapshot();
    return held ? std::shared_ptr<const document>(held, &held->rules) : nullptr;
}

std::uint64_t configuration_holder::revision() const {
    const auto held = snapshot();
    return held ? held->revision : 0;
}

std::string configuration_holder::peer_copy() const {
    const auto held = snapshot();
    return held ? held->peer_copy : std::string{};
}

void configuration_holder::on_change(change_handler handler) {
    m_handlers.push_back(std::move(handler));
}

std::shared_ptr<const configuration_holder::adopted_configuration> configuration_holder::snapshot() const {
    const std::lock_guard lock(m_mutex);
    return m_current;
}

bool configuration_holder::replace(const std::shared_ptr<const adopted_configuration>& next) {
    const std::lock_guard lock(m_mutex);
    if (m_current && m_current->revision >= next->revision) {
        return false;
    }
    m_current = next;
    return true;
}

adoption configuration_holder::refuse(const stored_configuration& offered, const std::string& reason) {
    m_log.write(logging::event_id::configuration_refused,
                {{"revision", std::to_string(offered.revision)}, {"reason", reason}});
    return adoption::refused;
}

} // namespace monsoonlift::configuration
