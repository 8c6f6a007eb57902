#include "gate/gate_service.h"

#include "gate/internal/gate_state.h"

#include <utility>

namespace monsoonlift::gate {

gate_service::gate_service(boost::asio::io_context& io, const gate_options& options,
                           transport::frame_sender& sender, execution::execution_ledger& ledger,
                           execution::crash_guard& crashes, nested_budgets& budgets, const core::clock& clock,
                           logging::event_log& log, metrics::metrics_registry& metrics)
    : m_state(std::make_shared<state>(io, options, sender, ledger, crashes, budgets, clock, log, metrics)) {}

gate_service::~gate_service() {
    stop();
}

void gate_service::start() {
    m_state->start();
}

void gate_service::set_classes(const std::vector<std::string>& names) {
    m_state->set_classes(names);
}

void gate_service::stop() {
    m_state->stop();
}

void gate_service::received(transport::frame message) {
    m_state->received(std::move(message));
}

void gate_service::unsent(const core::attempt_id& attempt) {
    m_state->unsent(attempt);
}

void gate_service::failed(const transport::frame& message) {
    m_state->failed(message);
}

bool gate_service::announce(const backend_server& server) {
    return m_state->announce(server);
}

bool gate_service::leave(const std::string& instance, core::steady_time at) {
    return m_state->leave(instance, at);
}

void gate_service::drain() {
    m_state->drain();
}

gate_counters gate_service::counters() const {
    return m_state->counters();
}

routing::load_report gate_service::report() const {
    return m_state->report();
}

std::optional<backend_server> gate_service::backend() const {
    return m_state->backend();
}

} // namespace monsoonlift::gate
