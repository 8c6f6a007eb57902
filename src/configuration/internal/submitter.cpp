#include "configuration/submitter.h"

#include <memory>
#include <utility>

#include "configuration/internal/submission_session.h"

namespace monsoonlift::configuration {

submitter::submitter(store::object_api& api, store::scheduler& timer, const core::clock& clock,
                     std::uint64_t seed)
    : m_api(api), m_timer(timer), m_clock(clock), m_seed(seed) {}

void submitter::submit(const submission_request& request, std::chrono::milliseconds patience, handler done) {
    std::make_shared<internal::submission_session>(m_api, m_timer, m_clock, m_seed++, request,
                                                   m_clock.now() + patience, std::move(done))
        ->start();
}

} // namespace monsoonlift::configuration
