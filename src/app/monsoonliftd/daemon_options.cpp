#include "app/monsoonliftd/daemon_options.h"

#include "configuration/follower_rules.h"
#include "platform/backend_protocol.h"
#include "platform/caller_protocol.h"
#include "platform/platform_store.h"
#include "store/http_object_api.h"

#include <algorithm>
#include <random>
#include <utility>

#include <sys/resource.h>

namespace monsoonlift::app {

namespace {

using namespace std::chrono_literals;

/// Time within which all entries learn that a gate drains; until then the gate accepts what they still send.
constexpr std::chrono::milliseconds drain_grace = 1000ms;

/// Daemons per data centre that watch the configuration; enough for all daemons of a small deployment to do
/// so.
constexpr std::size_t platform_watchers_per_data_centre = 8;

/// Retries that root calls in flight may hold beyond the retry ratio. Unspent ones are returned, and the
/// ratio bounds those that are spent.
constexpr std::size_t platform_grant_burst = 400;

/// Enough for watches that return at once and are renewed, as in a rapid series of changes.
constexpr double platform_store_calls_per_second = 6;

/// Silence after which a backend server of the platform counts as gone: its heartbeats may be seconds late.
constexpr std::chrono::milliseconds platform_backend_silence = 8000ms;

/// Callers may use one descriptor in so many; the others are for peers, the backend server, the store and the
/// admin port.
constexpr std::size_t callers_share_of_descriptors = 2;

bool admits_whole_chains(const settings::daemon_settings& chosen) {
    return chosen.chain_admission == "on" && chosen.decisions != "off";
}

/// Returns how many connections of callers may be open at once; no limit if the system doesn't tell.
std::size_t most_caller_connections() {
    rlimit descriptors{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
    return is_known ? static_cast<std::size_t>(descriptors.rlim_cur) / callers_share_of_descriptors
                    : entry::entry_options().most_connections;
}

} // namespace

std::chrono::milliseconds backend_silence_of(const settings::daemon_settings& chosen) {
    return chosen.deployment ? platform_backend_silence : gate::gate_options().backend_silence_timeout;
}

std::chrono::milliseconds drain_grace_of(const settings::daemon_settings& chosen) {
    return chosen.deployment ? std::min(drain_grace, chosen.deployment->drain_bound / 2) : drain_grace;
}

gate::gate_options gate_options_of(const settings::daemon_settings& chosen,
                                   const std::shared_ptr<gate::running_requests>& running) {
    gate::gate_options options;
    options.decisions_on = chosen.decisions != "off";
    options.whole_chains = admits_whole_chains(chosen);
    options.body_chunk_bytes = chosen.body_chunk_bytes;
    options.body_credit_chunks = static_cast<std::uint32_t>(chosen.body_credit_chunks);
    options.backend_silence_timeout = backend_silence_of(chosen);
    if (chosen.deployment) {
        options.protocol = platform::make_backend_protocol(running);
    }
    return options;
}

configuration::follower_rule follower_rule_of(const settings::daemon_settings& chosen) {
    if (!chosen.deployment) {
        return {};
    }
    auto rule = configuration::follower_rule_within(chosen.deployment->configuration_bound);
    rule.watchers_per_data_centre = platform_watchers_per_data_centre;
    return rule;
}

store::call_limits store_limits_of(const settings::daemon_settings& chosen) {
    store::call_limits limits;
    if (chosen.deployment) {
        const auto bound = chosen.deployment->configuration_bound;
        limits.pauses.pause = {bound / 8, bound / 3};
        limits.budget.tokens_per_second = platform_store_calls_per_second;
    }
    return limits;
}

std::unique_ptr<store::object_api> make_store_client(const settings::daemon_settings& chosen,
                                                     std::shared_ptr<const store::service_address> platform,
                                                     const boost::asio::any_io_executor& control,
                                                     logging::event_log& log, era_hooks hooks) {
    if (chosen.deployment) {
        auto client = std::make_unique<platform::platform_store>(control, std::move(platform), log);
        client->on_first_era(std::move(hooks.on_first));
        client->on_restored(std::move(hooks.on_restored));
        return client;
    }
    return std::make_unique<store::http_object_api>(control, std::move(platform));
}

transport::transport_options transport_options_of(const settings::daemon_settings& chosen) {
    return {chosen.transport_address, chosen.advertised_transport_address, chosen.transport_source_ip};
}

std::shared_ptr<configuration::freshness_holder> make_proofs(const settings::daemon_settings& chosen) {
    const bool is_bounded = chosen.deployment && chosen.deployment->revocation_bound > 0ms;
    return is_bounded ? std::make_shared<configuration::freshness_holder>(chosen.deployment->revocation_bound)
                      : nullptr;
}

entry::entry_options entry_options_of(const settings::daemon_settings& chosen,
                                      const std::shared_ptr<gate::running_requests>& running,
                                      std::shared_ptr<quota::token_source> quota,
                                      const std::shared_ptr<configuration::freshness_holder>& proofs) {
    entry::entry_options options;
    options.quota = std::move(quota);
    options.proofs = proofs;
    options.address = chosen.caller_address;
    options.data_centre = chosen.data_centre;
    options.decisions_on = chosen.decisions != "off";
    options.whole_chains = admits_whole_chains(chosen);
    options.body_chunk_bytes = chosen.body_chunk_bytes;
    options.body_credit_chunks = static_cast<std::uint32_t>(chosen.body_credit_chunks);
    options.default_patience = chosen.default_patience;
    options.random_seed = std::random_device()();
    options.most_connections = most_caller_connections();
    options.retry_burst = chosen.retry_burst;
    if (chosen.deployment) {
        options.protocol = platform::make_caller_protocol(chosen.deployment->service, running);
        options.grant_burst = platform_grant_burst;
    }
    return options;
}

} // namespace monsoonlift::app
