#include "store/testing/fake_object_api.h"

#include "store/watch_grace.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::store::testing {

namespace {

constexpr std::chrono::milliseconds watch_poll_interval{20};
constexpr std::chrono::milliseconds late_effect_delay{1000};

core::result<std::uint64_t> version_or_conflict(std::optional<std::uint64_t> version) {
    if (!version) {
        return core::captured_failure<std::uint64_t>(
            {core::error_code::conflict, "the object has another version"});
    }
    return *version;
}

} // namespace

fake_object_api::fake_object_api(memory_store& store, scheduler& timer) : m_store(store), m_timer(timer) {}

void fake_object_api::set_outage(bool outage, bool silent) {
    m_outage = outage;
    m_silent = silent;
}

template <class T> void fake_object_api::time_out(std::chrono::milliseconds patience, handler<T> done) {
    m_timer.after(patience, [done = std::move(done)] {
        done(
            core::captured_failure<T>({core::error_code::timeout, "no answer", core::verdict::may_have_run}));
    });
}

template <class T> void fake_object_api::fail(std::chrono::milliseconds patience, handler<T> done) {
    if (m_silent) {
        time_out(patience, std::move(done));
        return;
    }
    m_timer.after(m_delay, [done = std::move(done)] {
        done(core::captured_failure<T>({core::error_code::unavailable, "out of service"}));
    });
}

template <class T>
void fake_object_api::read(std::chrono::milliseconds patience, std::function<core::result<T>()> read_store,
                           handler<T> done) {
    ++m_calls;
    if (m_outage) {
        fail(patience, std::move(done));
        return;
    }
    if (m_delay > patience) {
        time_out(patience, std::move(done));
        return;
    }
    auto found = std::make_shared<core::result<T>>(read_store());
    m_timer.after(m_delay, [done = std::move(done), found] { done(std::move(*found)); });
}

void fake_object_api::get(const std::string& name, std::chrono::milliseconds patience, handler<object> done) {
    const auto read_store = [this, name]() -> core::result<object> {
        auto found = m_store.get(name);
        if (!found) {
            return core::captured_failure<object>({core::error_code::not_found, "no such object"});
        }
        return std::move(*found);
    };
    read<object>(patience, read_store, std::move(done));
}

void fake_object_api::list(const std::string& prefix, std::chrono::milliseconds patience,
                           handler<object_list> done) {
    const auto read_store = [this, prefix]() -> core::result<object_list> {
        return m_store.list(prefix);
    };
    read<object_list>(patience, read_store, std::move(done));
}

void fake_object_api::write(const std::string& name, std::chrono::milliseconds patience,
                            std::function<core::result<std::uint64_t>()> effect,
                            handler<std::uint64_t> done) {
    ++m_calls;
    if (m_before_write) {
        m_before_write(name);
    }
    auto outcome = write_outcome::answered;
    if (!m_write_outcomes.empty()) {
        outcome = m_write_outcomes.front();
        m_write_outcomes.pop_front();
    }
    if (m_outage || outcome == write_outcome::refused) {
        fail(patience, std::move(done));
        return;
    }
    if (outcome == write_outcome::effect_late) {
        m_timer.after(patience + late_effect_delay, [effect] { static_cast<void>(effect()); });
    }
    if (outcome == write_outcome::request_lost || outcome == write_outcome::effect_late) {
        time_out(patience, std::move(done));
        return;
    }
    auto version = std::make_shared<core::result<std::uint64_t>>(effect());
    if (outcome == write_outcome::answer_lost || m_delay > patience) {
        time_out(patience, std::move(done));
        return;
    }
    m_timer.after(m_delay, [done = std::move(done), version] { done(std::move(*version)); });
}

void fake_object_api::update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                                std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    const auto effect = [this, name, expected_version, value = std::move(value)] {
        return version_or_conflict(m_store.update_if(name, expected_version, value));
    };
    write(name, patience, effect, std::move(done));
}

void fake_object_api::remove_if(const std::string& name, std::uint64_t expected_version,
                                std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    const auto effect = [this, name, expected_version]() -> core::result<std::uint64_t> {
        if (!m_store.get(name)) {
            return core::captured_failure<std::uint64_t>({core::error_code::not_found, "no such object"});
        }
        return version_or_conflict(m_store.remove_if(name, expected_version));
    };
    write(name, patience, effect, std::move(done));
}

void fake_object_api::watch(const std::string& prefix, std::uint64_t revision,
                            std::chrono::milliseconds patience, handler<watch_result> done) {
    ++m_calls;
    poll_changes(prefix, revision, {patience, watch_grace(patience)}, std::move(done));
}

void fake_object_api::poll_changes(const std::string& prefix, std::uint64_t revision, watch_patience patience,
                                   handler<watch_result> done) {
    if (m_outage) {
        fail(patience.remaining + patience.grace, std::move(done));
        return;
    }
    auto changes = m_store.changes_since(prefix, revision);
    const bool empty = changes.changed.empty() && changes.removed.empty();
    if (!empty || patience.remaining.count() <= 0) {
        m_timer.after(m_delay, [done = std::move(done), changes] { done(changes); });
        return;
    }
    const auto step = std::min(watch_poll_interval, patience.remaining);
    m_timer.after(step, [this, prefix, revision, patience, step, done = std::move(done)] {
        poll_changes(prefix, revision, {patience.remaining - step, patience.grace}, done);
    });
}

} // namespace monsoonlift::store::testing
