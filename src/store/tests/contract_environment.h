#pragma once

#include <functional>
#include <string>

#include "store/object_api.h"
#include "store/settled.h"

namespace monsoonlift::store::tests {

/// An implementation of the object API under test, with the faults that the contract cases inject.
class contract_environment {
public:
    contract_environment() = default;
    contract_environment(const contract_environment&) = delete;
    contract_environment& operator=(const contract_environment&) = delete;
    virtual ~contract_environment() = default;

    virtual object_api& api() = 0;

    /// Runs the environment until `reached` returns true.
    virtual void run_until(const std::function<bool()>& reached) = 0;

    /// Starts or ends an outage in which calls are refused, or get no answer if `silent`.
    virtual void set_outage(bool outage, bool silent) = 0;

    /// Makes the next write take effect without an answer; false cancels that.
    virtual void lose_answers(bool lost) = 0;

    /// Starts a call and waits for its outcome.
    template <class T> settled<T> wait(const std::function<void(object_api::handler<T>)>& begin) {
        settled<T> answer;
        bool ended = false;
        begin([&](core::result<T> outcome) {
            answer = settle_result(std::move(outcome));
            ended = true;
        });
        run_until([&ended] { return ended; });
        return answer;
    }
};

} // namespace monsoonlift::store::tests
