#include "quota/internal/owner_quota.h"

#include "quota/shards.h"
#include "store/settled.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace monsoonlift::quota::internal {

namespace {

using namespace std::chrono_literals;

/// Time-out of a call to the store; two fit into a lease's lifetime beside the renewal interval.
constexpr std::chrono::milliseconds store_patience = 400ms;

std::string object_name(std::uint32_t shard) {
    return "quota/" + std::to_string(shard);
}

} // namespace

owner_quota::owner_quota(core::endpoint_id self, store::object_api& store, const core::clock& clock,
                         logging::event_log& log)
    : m_self(std::move(self)), m_store(store), m_clock(clock), m_log(log) {
    for (auto& shard : m_shards) {
        shard.lease.self = m_self;
    }
}

void owner_quota::set_limits(const account_limits& limits) {
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.boot_now();
    m_limits = limits;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        m_shards[shard].has_accounts = std::any_of(limits.begin(), limits.end(), [shard](const auto& each) {
            return shard_of(each.first) == shard;
        });
        quota::set_limits(m_shards[shard].owner, shard, limits, now);
    }
}

void owner_quota::update(std::uint32_t shard,
                         const std::function<void(shard_state&, core::boot_time)>& change) {
    bool holds_now = false;
    bool was_held = false;
    std::uint64_t sequence = 0;
    {
        const std::scoped_lock lock(m_mutex);
        auto& state = m_shards[shard];
        const auto now = m_clock.boot_now();
        change(state, now);
        if (state.lease.tenure != state.tenure) {
            state.tenure = state.lease.tenure;
            state.owner = {};
            quota::set_limits(state.owner, shard, m_limits, now);
        }
        holds_now = quota::holds(state.lease, now);
        was_held = std::exchange(state.was_held, holds_now);
        sequence = state.lease.sequence;
    }
    if (holds_now != was_held) {
        m_log.write(holds_now ? logging::event_id::quota_lease_gained : logging::event_id::quota_lease_lost,
                    {{"shard", std::to_string(shard)}, {"sequence", std::to_string(sequence)}});
    }
}

lease_interest owner_quota::interest_in(const std::vector<core::endpoint_id>& candidates) const {
    if (m_leaves) {
        return lease_interest::leaving;
    }
    const auto found = std::find(candidates.begin(), candidates.end(), m_self);
    if (found == candidates.end()) {
        return lease_interest::none;
    }
    return found == candidates.begin() ? lease_interest::first : lease_interest::second;
}

void owner_quota::tick(const std::array<std::vector<core::endpoint_id>, shard_count>& candidates) {
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        lease_step step;
        update(shard, [&](shard_state& state, core::boot_time now) {
            if (state.has_accounts) {
                step = next_step(state.lease, interest_in(candidates[shard]), now);
            }
        });
        perform(shard, step);
    }
}

void owner_quota::release() {
    m_leaves = true;
}

void owner_quota::note_store_restored() {
    const std::scoped_lock lock(m_mutex);
    for (auto& shard : m_shards) {
        forget_sighting(shard.lease);
    }
}

void owner_quota::perform(std::uint32_t shard, const lease_step& step) {
    if (step.what == lease_step::kind::read) {
        read(shard);
    } else if (step.what == lease_step::kind::write) {
        write(shard, step);
    }
}

void owner_quota::read(std::uint32_t shard) {
    m_store.get(object_name(shard), store_patience,
                [weak = weak_from_this(), shard](core::result<store::object> answered) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    const auto answer = store::settle_result(std::move(answered));
                    const bool is_known = answer.value || answer.failure.code == core::error_code::not_found;
                    self->update(shard, [&](shard_state& state, core::boot_time now) {
                        if (is_known) {
                            note_read(state.lease, answer.value, now);
                        } else {
                            note_read_failed(state.lease);
                        }
                    });
                });
}

void owner_quota::write(std::uint32_t shard, const lease_step& step) {
    const auto sent = m_clock.boot_now();
    m_store.update_if(object_name(shard), step.expected_version, to_text(step.record), store_patience,
                      [weak = weak_from_this(), shard, step, sent](core::result<std::uint64_t> answered) {
                          const auto self = weak.lock();
                          if (!self) {
                              return;
                          }
                          const auto answer = store::settle_result(std::move(answered));
                          self->update(shard, [&](shard_state& state, core::boot_time now) {
                              if (answer.value) {
                                  note_written(state.lease, step, *answer.value, sent, now);
                              } else {
                                  note_write_failed(state.lease);
                              }
                          });
                      });
}

grant_message owner_quota::handle(const core::endpoint_id& from, const ask_message& request) {
    const std::scoped_lock lock(m_mutex);
    auto& state = m_shards[request.shard];
    const auto now = m_clock.boot_now();
    if (quota::holds(state.lease, now) && state.tenure == state.lease.tenure) {
        auto reply = answer(state.owner, from, request, now);
        for (const auto& grant : reply.grants) {
            m_granted += grant.tokens;
        }
        return reply;
    }
    grant_message reply;
    reply.shard = request.shard;
    reply.sequence = request.sequence;
    reply.holder = known_holder(state.lease, now).value_or(core::endpoint_id());
    return reply;
}

std::vector<std::uint32_t> owner_quota::held() const {
    const std::scoped_lock lock(m_mutex);
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        if (quota::holds(m_shards[shard].lease, m_clock.boot_now())) {
            shards.push_back(shard);
        }
    }
    return shards;
}

} // namespace monsoonlift::quota::internal
