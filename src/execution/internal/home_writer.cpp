#include "execution/internal/home_writer.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::execution::internal {

namespace {

using core::error_code;
using std::chrono::milliseconds;

constexpr milliseconds soon_pause{100};

} // namespace

home_writer::home_writer(store::scheduler& scheduler, execution_ledger& ledger, store::object_api& platform,
                         logging::event_log& log, home_keeper::other_gates others,
                         const home_keeper_options& options)
    : m_scheduler(scheduler), m_ledger(ledger), m_platform(platform), m_log(log), m_others(std::move(others)),
      m_options(options), m_random(options.random_seed) {}

void home_writer::post(std::function<void(home_writer&)> step) {
    m_scheduler.after(milliseconds(0), [weak = weak_from_this(), step = std::move(step)] {
        const auto self = weak.lock();
        if (self && !self->m_stopped) {
            step(*self);
        }
    });
}

template <class T>
store::object_api::handler<T>
home_writer::on_scheduler(std::function<void(home_writer&, const T&)> on_value,
                          std::function<void(home_writer&, const core::error&)> on_error) {
    return [weak = weak_from_this(), on_value = std::move(on_value),
            on_error = std::move(on_error)](core::result<T> answer) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        using step = std::function<void(home_writer&)>;
        self->post(core::settle([&] { return std::move(answer); },
                                [&](T value) -> step {
                                    return [on_value, value = std::move(value)](home_writer& writer) {
                                        on_value(writer, value);
                                    };
                                },
                                [&](const core::error& failure) -> step {
                                    return [on_error, failure](home_writer& writer) {
                                        on_error(writer, failure);
                                    };
                                }));
    };
}

std::string home_writer::object_name() const {
    return "homes/" + m_service;
}

void home_writer::serve(const std::string& service) {
    if (!m_service.empty()) {
        return;
    }
    m_service = service;
    begin_round();
}

void home_writer::refresh() {
    if (m_service.empty()) {
        return;
    }
    begin_round();
}

void home_writer::refresh_soon() {
    if (m_busy || m_early_round_scheduled || m_service.empty()) {
        return;
    }
    m_early_round_scheduled = true;
    wait(soon_pause);
}

void home_writer::refresh_for_unknown() {
    // NOTE: the home of a free slot is unknown until a gate claims it, so every call for it gets here.
    const bool has_reason_to_wait = m_retry > milliseconds(0) || m_ledger.homes().version == 0;
    if (m_busy || m_early_round_scheduled || has_reason_to_wait || m_service.empty()) {
        return;
    }
    m_early_round_scheduled = true;
    wait(jittered(m_options.unknown_home_poll));
}

void home_writer::drain(std::function<void()> done) {
    m_leaves = true;
    m_drained = std::move(done);
    if (m_service.empty()) {
        end_round();
        return;
    }
    begin_round();
}

void home_writer::stop() {
    m_stopped = true;
}

void home_writer::begin_round() {
    if (m_busy) {
        m_round_requested = true;
        return;
    }
    m_busy = true;
    m_round_requested = false;
    m_early_round_scheduled = false;
    ++m_last_wait;
    read();
}

void home_writer::read() {
    m_platform.get(object_name(), m_options.call_patience,
                   on_scheduler<store::object>(&home_writer::handle_read, &home_writer::read_failed));
}

void home_writer::handle_read(const store::object& found) {
    const auto table = read_homes(found.value, found.version);
    if (!table) {
        m_log.write(logging::event_id::homes_malformed, {{"object", object_name()}});
        retry_later();
        return;
    }
    const bool may_lose_slots = m_ledger.pending_write().has_value();
    const std::size_t held_before = m_ledger.counts().homes_held;
    m_ledger.adopt_homes(*table);
    if (!may_lose_slots && m_ledger.counts().homes_held < held_before) {
        m_log.write(logging::event_id::gate_fenced, {{"service", m_service}});
    }
    plan();
}

void home_writer::read_failed(const core::error& failure) {
    const bool never_existed = failure.code == error_code::not_found && m_ledger.homes().version == 0;
    if (never_existed && !std::exchange(m_claim_delay_started, true)) {
        m_busy = false;
        wait(m_options.first_claim_delay);
        return;
    }
    if (never_existed) {
        plan();
        return;
    }
    retry_later();
}

void home_writer::plan() {
    if (const auto pending = m_ledger.pending_write()) {
        // NOTE: the earlier write may still take effect. Writing the unchanged table with the same expected
        // version settles this: one of the two writes takes effect, the other never will.
        write(pending->expected_version, m_ledger.homes(), false);
        return;
    }
    const auto proposed = m_ledger.begin_homes_write(m_others(m_service), m_leaves);
    if (!proposed) {
        end_round();
        return;
    }
    write(proposed->version, *proposed, true);
}

void home_writer::write(std::uint64_t expected_version, const home_table& table, bool is_proposal) {
    m_platform.update_if(
        object_name(), expected_version, write_homes(table), m_options.write_patience,
        on_scheduler<std::uint64_t>(
            [is_proposal](home_writer& self, std::uint64_t version) { self.written(version, is_proposal); },
            [is_proposal](home_writer& self, const core::error& failure) {
                self.write_failed(failure, is_proposal);
            }));
}

void home_writer::written(std::uint64_t version, bool is_proposal) {
    if (is_proposal) {
        m_ledger.confirm_homes_write(version);
    } else {
        home_table unchanged = m_ledger.homes();
        unchanged.version = version;
        m_ledger.adopt_homes(unchanged);
    }
    const execution_counts counts = m_ledger.counts();
    m_log.write(logging::event_id::homes_written, {{"service", m_service},
                                                   {"version", std::to_string(version)},
                                                   {"held", std::to_string(counts.homes_held)}});
    if (!is_proposal) {
        plan();
        return;
    }
    end_round();
}

void home_writer::write_failed(const core::error& failure, bool is_proposal) {
    if (failure.code == error_code::conflict) {
        read();
        return;
    }
    // NOTE: a failed attempt to settle an earlier write doesn't show whether that write took effect.
    const bool had_no_effect =
        failure.run == core::verdict::not_run && failure.code == error_code::unavailable;
    if (is_proposal && had_no_effect) {
        m_ledger.cancel_homes_write();
    }
    retry_later();
}

void home_writer::end_round() {
    m_busy = false;
    m_retry = milliseconds(0);
    const bool has_left = m_leaves && m_ledger.counts().homes_held == 0;
    if (has_left && m_drained) {
        std::exchange(m_drained, nullptr)();
    }
    if (m_round_requested) {
        begin_round();
        return;
    }
    wait(jittered(m_options.poll));
}

void home_writer::retry_later() {
    m_busy = false;
    m_retry = std::clamp(m_retry * 2, m_options.retry_min, m_options.retry_max);
    wait(jittered(m_retry));
}

void home_writer::wait(milliseconds pause) {
    const std::uint64_t number = ++m_last_wait;
    m_scheduler.after(pause, [weak = weak_from_this(), number] {
        const auto self = weak.lock();
        if (self && !self->m_stopped && self->m_last_wait == number) {
            self->begin_round();
        }
    });
}

milliseconds home_writer::jittered(milliseconds pause) {
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    return milliseconds(jitter(m_random));
}

} // namespace monsoonlift::execution::internal
