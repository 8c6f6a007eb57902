#include "membership/membership_service.h"

#include "membership/internal/membership_runtime.h"

namespace monsoonlift::membership {

using internal::membership_runtime;

membership_service::membership_service(boost::asio::any_io_executor executor, const core::clock& clock,
                                       member_directory& directory, logging::event_log& log,
                                       store::object_api* platform, membership_options options,
                                       membership_hooks hooks)
    : m_runtime(std::make_shared<membership_runtime>(executor, clock, directory, log, platform,
                                                     std::move(options), std::move(hooks))) {}

membership_service::~membership_service() {
    stop();
}

core::result<void> membership_service::start() {
    return m_runtime->start();
}

std::string membership_service::bound_address() const {
    return m_runtime->bound_address();
}

bool membership_service::joined() const {
    return m_runtime->joined();
}

datagram_traffic membership_service::traffic() const {
    return m_runtime->traffic();
}

void membership_service::announce(std::string service) {
    m_runtime->post([service = std::move(service)](membership_runtime& self) { self.announce(service); });
}

void membership_service::withdraw() {
    m_runtime->post([](membership_runtime& self) { self.withdraw(); });
}

void membership_service::record_deregistrations(std::vector<core::departed_incarnation> deregistrations,
                                                std::function<void()> on_recorded) {
    m_runtime->post([deregistrations = std::move(deregistrations),
                     on_recorded = std::move(on_recorded)](membership_runtime& self) {
        self.record_deregistrations(deregistrations, on_recorded);
    });
}

void membership_service::forget_deregistrations() {
    m_runtime->post([](membership_runtime& self) { self.forget_deregistrations(); });
}

void membership_service::drain() {
    m_runtime->post([](membership_runtime& self) { self.drain(); });
}

void membership_service::leave(std::function<void()> done) {
    m_runtime->post([done = std::move(done)](membership_runtime& self) { self.leave(done); });
}

void membership_service::spread(rumor rumor_to_spread) {
    m_runtime->post([rumor_to_spread = std::move(rumor_to_spread)](membership_runtime& self) {
        self.spread(rumor_to_spread);
    });
}

void membership_service::check_object_within(std::chrono::milliseconds longest) {
    m_runtime->post([longest](membership_runtime& self) { self.check_object_within(longest); });
}

void membership_service::stop() {
    m_runtime->post([keep_alive = m_runtime](membership_runtime& self) { self.stop(); });
}

} // namespace monsoonlift::membership
