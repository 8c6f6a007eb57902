#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "logging/event_log.h"
#include "store/call_budget.h"
#include "store/circuit.h"
#include "store/object_api.h"
#include "store/scheduler.h"

namespace monsoonlift::store {

/// Limits on the calls of one process to the platform.
struct call_limits {
    call_budget_rule budget;
    circuit_rule pauses;
};

/// Wraps an object API, limits the rate of calls to it and pauses them during an outage. It never retries.
/// Calls over the budget wait for tokens within their patience (time-out); a call that would have to wait
/// longer, and any call during a pause, fails as unavailable and is guaranteed to have no effect.
/// Thread-safe; its mutex is a leaf in the lock order.
class budgeted_object_api final : public object_api {
public:
    /// All referenced objects must outlive the calls in flight.
    budgeted_object_api(object_api& inner, scheduler& timer, const core::clock& clock,
                        logging::event_log& log, const call_limits& limits, std::uint64_t seed);

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
    struct shared_state;

    template <class T> using sender = std::function<void(object_api&, std::chrono::milliseconds, handler<T>)>;

    template <class T>
    void call(double cost, std::chrono::milliseconds patience, sender<T> send, handler<T> done);

    std::shared_ptr<shared_state> m_state;
};

} // namespace monsoonlift::store
