#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "configuration/types/submission.h"
#include "core/clock.h"
#include "store/object_api.h"
#include "store/scheduler.h"

namespace monsoonlift::configuration {

/// Submits documents with one conditional write each. If the answer to a write is lost, the outcome is
/// determined by reading the stored configuration back; the write is resent only with the same condition, so
/// it takes effect at most once.
class submitter {
public:
    using handler = std::function<void(const submission_outcome&)>;

    /// `api`, `timer` and `clock` must outlive the submissions in progress; handlers run on the API's
    /// executor.
    submitter(store::object_api& api, store::scheduler& timer, const core::clock& clock, std::uint64_t seed);

    /// Submits a document. `patience` is the time limit of the whole submission: no step is retried after it.
    void submit(const submission_request& request, std::chrono::milliseconds patience, handler done);

private:
    store::object_api& m_api;
    store::scheduler& m_timer;
    const core::clock& m_clock;
    std::uint64_t m_seed;
};

} // namespace monsoonlift::configuration
