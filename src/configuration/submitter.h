#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "configuration/types/submission.h"
#include "core/clock.h"
#include "store/object_api.h"
#include "store/scheduler.h"

namespace monsoonlift::configuration {

/// Submits documents by one conditional write each. A write whose answer was lost is resolved by reading
/// back; it is sent again only under the same condition, so that it takes effect once at most.
class submitter {
public:
    using handler = std::function<void(const submission_outcome&)>;

    /// All three must outlive the submissions under way; handlers run on the API's executor.
    submitter(store::object_api& api, store::scheduler& timer, const core::clock& clock, std::uint64_t seed);

    /// Submits; `patience` bounds the whole.
    void submit(const submission_request& request, std::chrono::milliseconds patience, handler done);

private:
    store::object_api& m_api;
    store::scheduler& m_timer;
    const core::clock& m_clock;
    std::uint64_t m_seed;
};

} // namespace monsoonlift::configuration
