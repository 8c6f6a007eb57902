#pragma once

#include <chrono>
#include <deque>

#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"
#include "store/tests/contract_environment.h"

namespace monsoonlift::store::tests {

/// The in-memory fake, on a manual clock.
class fake_environment final : public contract_environment {
public:
    object_api& api() override { return m_api; }

    void run_until(const std::function<bool()>& reached) override {
        m_timer.run_until(reached, std::chrono::minutes(1));
    }

    void set_outage(bool outage, bool silent) override { m_api.set_outage(outage, silent); }

    void lose_answers(bool lost) override {
        m_api.set_write_outcomes(lost ? std::deque(1, testing::write_outcome::answer_lost)
                                      : std::deque<testing::write_outcome>{});
    }

private:
    monsoonlift::testing::manual_clock m_clock;
    testing::manual_scheduler m_timer{m_clock};
    testing::memory_store m_store;
    testing::fake_object_api m_api{m_store, m_timer};
};

} // namespace monsoonlift::store::tests
