#include "store/budgeted_object_api.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

#include "store/settled.h"

namespace monsoonlift::store {

namespace {

/// Upper limit on the patience of the probe call after a pause, so that a watch as the probe ends early.
constexpr std::chrono::milliseconds probe_patience{1000};

bool shows_platform_reachable(const core::error& failure) {
    return failure.code != core::error_code::unavailable && failure.code != core::error_code::timeout;
}

template <class T> void fail_later(scheduler& timer, object_api::handler<T> done, std::string reason) {
    timer.after(std::chrono::nanoseconds::zero(), [done = std::move(done), reason = std::move(reason)] {
        done(core::captured_failure<T>({core::error_code::unavailable, reason}));
    });
}

} // namespace

struct budgeted_object_api::shared_state {
    shared_state(object_api& inner_api, scheduler& scheduler, const core::clock& time,
                 logging::event_log& events, const call_limits& limits, std::uint64_t seed)
        : inner(inner_api), timer(scheduler), clock(time), log(events),
          budget(full_budget(limits.budget, time.now())), random(seed) {
        breaker.rule = limits.pauses;
    }

    /// Reserves tokens and returns the time to wait before the call may be sent; nothing if it must fail.
    std::optional<std::chrono::nanoseconds> reserve_tokens(double cost, std::chrono::milliseconds patience) {
        const std::lock_guard lock(mutex);
        if (!would_admit(breaker, clock.now())) {
            return std::nullopt;
        }
        return reserve(budget, cost, patience, clock.now());
    }

    /// Returns the patience to send the call with; nothing if the circuit breaker admits no call.
    std::optional<std::chrono::milliseconds> admit_call(std::chrono::milliseconds patience) {
        const std::lock_guard lock(mutex);
        if (!admit(breaker, clock.now())) {
            return std::nullopt;
        }
        return breaker.phase == circuit_phase::probing ? std::min(patience, probe_patience) : patience;
    }

    void succeeded() {
        std::unique_lock lock(mutex);
        if (!record_success(breaker)) {
            return;
        }
        restart_slowly(budget, clock.now());
        lock.unlock();
        log.write(logging::event_id::platform_reachable, {});
    }

    void failed(const core::error& failure) {
        std::unique_lock lock(mutex);
        const bool opened = record_failure(breaker, random, clock.now());
        lock.unlock();
        if (opened) {
            log.write(logging::event_id::platform_unreachable, {{"reason", failure.message}});
        }
    }

    template <class T> void record_answer(const settled<T>& answer) {
        if (answer.value || shows_platform_reachable(answer.failure)) {
            succeeded();
            return;
        }
        failed(answer.failure);
    }

    object_api& inner;
    scheduler& timer;
    const core::clock& clock;
    logging::event_log& log;
    std::mutex mutex;
    call_budget budget;
    circuit breaker;
    random_engine random;
};

budgeted_object_api::budgeted_object_api(object_api& inner, scheduler& timer, const core::clock& clock,
                                         logging::event_log& log, const call_limits& limits,
                                         std::uint64_t seed)
    : m_state(std::make_shared<shared_state>(inner, timer, clock, log, limits, seed)) {}

template <class T>
void budgeted_object_api::call(double cost, std::chrono::milliseconds patience, sender<T> send,
                               handler<T> done) {
    const auto wait = m_state->reserve_tokens(cost, patience);
    if (!wait) {
        fail_later<T>(m_state->timer, std::move(done),
                      "the platform is unavailable or the call budget is spent");
        return;
    }
    const auto waited = std::chrono::ceil<std::chrono::milliseconds>(*wait);
    const auto remaining = std::max(patience - waited, std::chrono::milliseconds(1));
    auto begin = [state = m_state, send = std::move(send), done = std::move(done), remaining] {
        const auto allowed = state->admit_call(remaining);
        if (!allowed) {
            fail_later<T>(state->timer, done, "the platform is unavailable");
            return;
        }
        send(state->inner, *allowed, [state, done](core::result<T> outcome) {
            auto answer = settle_result(std::move(outcome));
            state->record_answer(answer);
            done(answer.value ? core::result<T>(std::move(*answer.value))
                              : core::captured_failure<T>(answer.failure));
        });
    };
    if (wait->count() == 0) {
        begin();
        return;
    }
    m_state->timer.after(*wait, std::move(begin));
}

void budgeted_object_api::get(const std::string& name, std::chrono::milliseconds patience,
                              handler<object> done) {
    const auto send = [name](object_api& inner, std::chrono::milliseconds remaining, handler<object> end) {
        inner.get(name, remaining, std::move(end));
    };
    call<object>(m_state->budget.rule.read_cost, patience, send, std::move(done));
}

void budgeted_object_api::list(const std::string& prefix, std::chrono::milliseconds patience,
                               handler<object_list> done) {
    const auto send = [prefix](object_api& inner, std::chrono::milliseconds remaining,
                               handler<object_list> end) {
        inner.list(prefix, remaining, std::move(end));
    };
    call<object_list>(m_state->budget.rule.read_cost, patience, send, std::move(done));
}

void budgeted_object_api::update_if(const std::string& name, std::uint64_t expected_version,
                                    std::string value, std::chrono::milliseconds patience,
                                    handler<std::uint64_t> done) {
    const auto send = [name, expected_version, value = std::move(value)](object_api& inner,
                                                                         std::chrono::milliseconds remaining,
                                                                         handler<std::uint64_t> end) {
        inner.update_if(name, expected_version, value, remaining, std::move(end));
    };
    call<std::uint64_t>(m_state->budget.rule.write_cost, patience, send, std::move(done));
}

void budgeted_object_api::remove_if(const std::string& name, std::uint64_t expected_version,
                                    std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    const auto send = [name, expected_version](object_api& inner, std::chrono::milliseconds remaining,
                                               handler<std::uint64_t> end) {
        inner.remove_if(name, expected_version, remaining, std::move(end));
    };
    call<std::uint64_t>(m_state->budget.rule.write_cost, patience, send, std::move(done));
}

void budgeted_object_api::watch(const std::string& prefix, std::uint64_t revision,
                                std::chrono::milliseconds patience, handler<watch_result> done) {
    const auto send = [prefix, revision](object_api& inner, std::chrono::milliseconds remaining,
                                         handler<watch_result> end) {
        inner.watch(prefix, revision, remaining, std::move(end));
    };
    call<watch_result>(m_state->budget.rule.read_cost, patience, send, std::move(done));
}

} // namespace monsoonlift::store
