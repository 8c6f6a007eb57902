#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "store/object_api.h"
#include "store/scheduler.h"
#include "store/testing/memory_store.h"

namespace monsoonlift::store::testing {

/// Injected outcome of one write.
enum class write_outcome {
    answered,
    answer_lost,  ///< The write takes effect, but its answer is lost.
    request_lost, ///< The write has no effect and no answer.
    effect_late,  ///< No answer arrives; the write takes effect one second after the caller's time-out.
    refused       ///< The platform answers that it is unavailable.
};

/// An object API on an in-memory store. Several instances may share one store.
class fake_object_api final : public object_api {
public:
    fake_object_api(memory_store& store, scheduler& timer);

    /// Starts or ends an outage, in which every call fails as unavailable, or with a time-out if `silent`.
    void set_outage(bool outage, bool silent = false);

    /// Sets the delay between the effect of a call and its answer.
    void set_delay(std::chrono::milliseconds delay) { m_delay = delay; }

    /// Sets the outcomes of the next writes in order; writes after them are answered.
    void set_write_outcomes(std::deque<write_outcome> outcomes) { m_write_outcomes = std::move(outcomes); }

    /// Sets a hook that runs before each write takes effect, so that a test can act in between.
    void before_write(std::function<void(const std::string& name)> hook) { m_before_write = std::move(hook); }

    /// Number of calls so far, of all kinds.
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

    void get(const std::string& name, std::chrono::milliseconds patience, handler<object> done) override;
    void list(const std::string& prefix, std::chrono::milliseconds patience,
              handler<object_list> done) override;
    void update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                   std::chrono::milliseconds patience, handler<std::uint64_t> done) override;
    void remove_if(const std::string& name, std::uint64_t expected_version,
                   std::chrono::milliseconds patience, handler<std::uint64_t> done) override;
    void watch(const std::string& prefix, std::uint64_t revision, std::chrono::milliseconds patience,
               handler<watch_result> done) override;

private:
    /// Remaining time of a watch.
    struct watch_patience {
        std::chrono::milliseconds remaining;
        std::chrono::milliseconds grace; ///< Time after `remaining` until a watch without an answer fails.
    };

    template <class T>
    void read(std::chrono::milliseconds patience, std::function<core::result<T>()> read_store,
              handler<T> done);
    template <class T> void fail(std::chrono::milliseconds patience, handler<T> done);
    template <class T> void time_out(std::chrono::milliseconds patience, handler<T> done);
    void write(const std::string& name, std::chrono::milliseconds patience,
               std::function<core::result<std::uint64_t>()> effect, handler<std::uint64_t> done);
    void poll_changes(const std::string& prefix, std::uint64_t revision, watch_patience patience,
                      handler<watch_result> done);

    memory_store& m_store;
    scheduler& m_timer;
    bool m_outage = false;
    bool m_silent = false;
    std::chrono::milliseconds m_delay{1};
    std::deque<write_outcome> m_write_outcomes;
    std::function<void(const std::string&)> m_before_write;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonlift::store::testing
