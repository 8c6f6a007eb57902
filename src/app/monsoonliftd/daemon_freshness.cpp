// The part of daemon that keeps proofs that the configuration in force is recent.
#include "app/monsoonliftd/daemon.h"

#include "configuration/freshness_rules.h"

#include <chrono>
#include <limits>
#include <utility>

namespace monsoonlift::app {

void daemon::prepare_freshness() {
    if (!m_proofs) {
        return;
    }
    const auto rule = configuration::freshness_rule_within(m_proofs->bound());
    const auto send = [this, patience = rule.retry_interval](const core::endpoint_id& to,
                                                             std::string payload) {
        transport::frame message;
        message.target = transport::frame_target::control;
        message.payload = transport::control_message{transport::control_topic::freshness,
                                                     m_transport.self().address, std::move(payload)};
        // NOTE: after this time the question is sent to another daemon, and a late answer is of little use.
        message.expires = m_clock.now() + patience;
        m_transport.send(to, std::move(message));
    };
    const auto on_higher_revision = [this](const std::string& address, std::uint64_t revision) {
        if (const auto peer = m_directory.find(address)) {
            m_follower->on_peer_revision(peer->admin_address, revision);
        }
    };
    m_freshness = std::make_shared<configuration::freshness_keeper>(
        configuration::freshness_parts{m_platform, m_scheduler, m_clock, m_directory, m_configuration,
                                       *m_proofs, m_log, send, on_higher_revision},
        configuration::freshness_identity{m_transport.self().address, m_settings.data_centre,
                                          m_incarnation.value},
        rule);
}

void daemon::add_freshness_metrics() {
    if (!m_proofs) {
        return;
    }
    m_metrics.add_gauge("monsoonlift_configuration_age_seconds",
                        "Time since the configuration in force was known to be the latest; infinite before "
                        "the first proof.",
                        "", [this] {
                            const auto proven = m_proofs->proven();
                            return proven
                                       ? std::chrono::duration<double>(m_clock.boot_now() - *proven).count()
                                       : std::numeric_limits<double>::infinity();
                        });
    m_metrics.add_total("monsoonlift_configuration_outdated_refusals_total",
                        "Calls refused because the configuration in force may be outdated.", "",
                        [this] { return static_cast<double>(m_proofs->refused()); });
}

} // namespace monsoonlift::app
