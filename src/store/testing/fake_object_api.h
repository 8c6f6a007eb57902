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

/// What happens to one write.
enum class write_fate {
    answered,
    answer_lost,  ///< It takes effect; the answer never comes.
    request_lost, ///< It takes no effect; no answer comes.
    effect_late,  ///< No answer comes; it takes effect a second after the caller gave up.
    refused       ///< The platform says that it is out.
};

/// An object API on a store in memory. Several of them may share one store.
class fake_object_api final : public object_api {
public:
    fake_object_api(memory_store& store, scheduler& timer);

    /// Every call fails: as refused, or as unanswered if `silent`.
    void set_outage(bool outage, bool silent = false);

    /// Answers come this long after the effect.
    void set_delay(std::chrono::milliseconds delay) { m_delay = delay; }

    /// The fates of the next writes; later ones are answered.
    void set_write_fates(std::deque<write_fate> fates) { m_fates = std::move(fates); }

    /// Called before each write takes effect, so that a test can get in between.
    void before_write(std::function<void(const std::string& name)> hook) { m_before_write = std::move(hook); }

    /// Calls that were made, of every kind.
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
    /// What is left of a watch.
    struct watch_patience {
        std::chrono::milliseconds left;
        std::chrono::milliseconds grace; ///< Beyond that, before a silent watch fails.
    };

    template <class T>
    void read(std::chrono::milliseconds patience, std::function<core::result<T>()> look, handler<T> done);
    template <class T> void fail(std::chrono::milliseconds patience, handler<T> done);
    template <class T> void time_out(std::chrono::milliseconds patience, handler<T> done);
    void write(const std::string& name, std::chrono::milliseconds patience,
               std::function<core::result<std::uint64_t>()> effect, handler<std::uint64_t> done);
    void look_for_changes(const std::string& prefix, std::uint64_t revision, watch_patience patience,
                          handler<watch_result> done);

    memory_store& m_store;
    scheduler& m_timer;
    bool m_outage = false;
    bool m_silent = false;
    std::chrono::milliseconds m_delay{1};
    std::deque<write_fate> m_fates;
    std::function<void(const std::string&)> m_before_write;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonlift::store::testing
