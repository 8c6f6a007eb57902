#include "entry/entry_service.h"

#include "entry/internal/entry_state.h"
#include "network/address_text.h"

#include <utility>

namespace monsoonlift::entry {

entry_service::entry_service(boost::asio::io_context& io, const entry_options& options,
                             transport::frame_sender& sender, gate::nested_budgets& budgets,
                             configuration_source configuration, const core::clock& clock,
                             logging::event_log& log, metrics::metrics_registry& metrics)
    : entry_service(network::listen(io, network::parse_address(options.address), clock), options, sender,
                    budgets, std::move(configuration), clock, log, metrics) {}

entry_service::entry_service(network::listening_acceptor connections, const entry_options& options,
                             transport::frame_sender& sender, gate::nested_budgets& budgets,
                             configuration_source configuration, const core::clock& clock,
                             logging::event_log& log, metrics::metrics_registry& metrics)
    : m_state(std::make_shared<internal::entry_state>(std::move(connections), options, sender, budgets,
                                                      std::move(configuration), clock, log, metrics)) {}

entry_service::~entry_service() = default;

void entry_service::start() {
    m_state->start();
}

void entry_service::set_classes(const std::vector<std::string>& names) {
    m_state->classes.set_names(names);
}

void entry_service::close_connections_after_answers() {
    m_state->close_connections_after_answers();
}

void entry_service::cancel_all_attempts() {
    m_state->cancel_all_attempts();
}

void entry_service::close_idle_connections() {
    m_state->close_idle_connections();
}

void entry_service::refuse_root_calls() {
    m_state->refuse_root_calls();
}

void entry_service::end_calls_at(core::steady_time end) {
    m_state->end_calls_at(end);
}

void entry_service::refuse_all_calls() {
    m_state->refuse_all_calls();
}

void entry_service::stop_accepting() {
    m_state->stop_accepting();
}

std::string entry_service::address() const {
    return m_state->address();
}

void entry_service::received(transport::frame message) {
    m_state->received(std::move(message));
}

void entry_service::unsent(const core::attempt_id& attempt, bool begins_attempt) {
    m_state->unsent(attempt, begins_attempt);
}

void entry_service::failed(const transport::frame& message) {
    m_state->frame_failed(message);
}

void entry_service::member_changed(const membership::member& changed) {
    m_state->member_changed(changed);
}

entry_counters entry_service::counters() const {
    return m_state->counters();
}

std::vector<account_use> entry_service::account_uses() const {
    return m_state->accounts.uses();
}

} // namespace monsoonlift::entry
