#include "quota/quota_service.h"

#include "core/go_on.h"
#include "quota/internal/entry_quota.h"
#include "quota/internal/owner_quota.h"
#include "quota/message_codec.h"
#include "quota/shards.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace monsoonlift::quota {

namespace {

using namespace std::chrono_literals;

/// Time between two steps. Short beside longest_wait, so that a call that waits is asked for twice.
constexpr std::chrono::milliseconds tick_interval = 50ms;

/// Time between two choices of the candidates, each of which reads the whole member table.
constexpr std::chrono::milliseconds choice_interval = 500ms;

/// Time from the start of a planned stop to the release of the leases. Most daemons then know that this one
/// drains, and the next candidate has seen the lease held.
constexpr std::chrono::milliseconds release_delay = 800ms;

} // namespace

quota_service::quota_service(quota_parts parts)
    : m_parts(std::move(parts)), m_owner(std::make_shared<internal::owner_quota>(
                                     m_parts.sender.self(), m_parts.store, m_parts.clock, m_parts.log)),
      m_entry(std::make_shared<internal::entry_quota>(
          [this](const core::endpoint_id& to, const ask_message& request) {
              send(to, encode(request), answer_patience);
          },
          m_parts.clock, m_parts.log)) {}

quota_service::~quota_service() = default;

void quota_service::set_limits(const account_limits& limits) {
    m_owner->set_limits(limits);
    m_entry->set_limits(limits);
    m_has_limits = !limits.empty();
    if (m_has_limits) {
        start();
    }
}

void quota_service::start() {
    if (m_stopped || m_is_ticking.exchange(true)) {
        return;
    }
    m_parts.scheduler.after(0ms, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

void quota_service::tick() {
    core::run_then([this] { run_step(); },
                   [this] {
                       if (m_stopped || !m_has_limits) {
                           m_is_ticking = false;
                           // NOTE: limits may have been set since the check.
                           if (m_has_limits) {
                               start();
                           }
                           return;
                       }
                       m_parts.scheduler.after(tick_interval, [weak = weak_from_this()] {
                           if (const auto self = weak.lock()) {
                               self->tick();
                           }
                       });
                   });
}

void quota_service::run_step() {
    if (m_stopped || !m_parts.has_joined()) {
        return;
    }
    const auto now = m_parts.clock.boot_now();
    if (m_chosen == core::boot_time() || now - m_chosen >= choice_interval) {
        m_chosen = now;
        const auto members = m_parts.directory.members();
        for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
            m_candidates[shard] = candidates_of(shard, members);
        }
        m_entry->set_candidates(m_candidates);
    }
    core::run_then([this] { m_owner->tick(m_candidates); }, [this] { m_entry->tick(); });
}

token_decision quota_service::take(const std::string& account, core::steady_time deadline, handler done) {
    if (!m_has_limits) {
        return {};
    }
    auto decision = m_entry->take(account, deadline, std::move(done));
    if (decision.what == token_decision::outcome::waits) {
        const auto left = std::min<std::chrono::nanoseconds>(longest_wait, deadline - m_parts.clock.now());
        m_parts.scheduler.after(left, [entry = m_entry] { entry->expire(); });
    }
    return decision;
}

void quota_service::give_back(const taken_token& token) {
    m_entry->give_back(token);
}

void quota_service::received(const core::endpoint_id& from, std::string_view payload) {
    m_parts.scheduler.after(0ms, [weak = weak_from_this(), from, payload = std::string(payload)] {
        if (const auto self = weak.lock()) {
            self->handle(from, payload);
        }
    });
}

void quota_service::handle(const core::endpoint_id& from, std::string_view payload) {
    const auto message = decode(payload);
    if (!message || m_stopped) {
        return;
    }
    if (const auto* request = std::get_if<ask_message>(&*message)) {
        send(from, encode(m_owner->handle(from, *request)), longest_wait);
        return;
    }
    m_entry->handle(from, std::get<grant_message>(*message));
}

void quota_service::send(const core::endpoint_id& to, std::string payload,
                         std::chrono::milliseconds patience) {
    const auto self = m_parts.sender.self();
    if (to == self) {
        received(self, payload);
        return;
    }
    transport::frame message;
    message.target = transport::frame_target::control;
    message.payload =
        transport::control_message{transport::control_topic::quota, self.address, std::move(payload)};
    message.expires = m_parts.clock.now() + patience;
    m_parts.sender.send(to, std::move(message));
}

void quota_service::drain() {
    m_parts.scheduler.after(release_delay, [owner = m_owner] { owner->release(); });
}

void quota_service::stop() {
    m_stopped = true;
}

void quota_service::note_store_restored() {
    m_owner->note_store_restored();
}

const account_demand& quota_service::demands() const {
    return m_entry->demands();
}

quota_status quota_service::status() const {
    quota_status status;
    status.owned_shards = m_owner->held();
    for (const auto& known : m_entry->accounts()) {
        status.accounts.push_back({known.name, known.limit, demands().demand_of(known.name).value_or(0),
                                   known.taken, known.limited, known.unanswered});
    }
    return status;
}

void quota_service::add_metrics(metrics::metrics_registry& metrics) {
    const auto& totals = m_entry->counters();
    const auto total = [&](const std::string& name, const std::string& help, const auto& value) {
        metrics.add_total(name, help, "", [&value] { return static_cast<double>(value.load()); });
    };
    total("monsoonlift_quota_taken_total", "Root calls that took a token of their account.", totals.taken);
    total("monsoonlift_quota_limited_total", "Root calls refused as their account's limit is reached.",
          totals.limited);
    total("monsoonlift_quota_unanswered_total", "Root calls refused as no owner of quotas answered.",
          totals.unanswered);
    metrics.add_total("monsoonlift_quota_granted_total", "Tokens that this daemon granted as an owner.", "",
                      [owner = m_owner] { return static_cast<double>(owner->granted()); });
    metrics.add_gauge("monsoonlift_quota_shards_owned", "Shards of the accounts that this daemon owns.", "",
                      [owner = m_owner] { return static_cast<double>(owner->held().size()); });
}

account_limits limits_of(const accounts::account_table& table) {
    account_limits limits;
    for (const auto& each : table.accounts) {
        if (each.limit.rate_per_second > 0) {
            limits.emplace(each.name, each.limit);
        }
    }
    return limits;
}

} // namespace monsoonlift::quota
