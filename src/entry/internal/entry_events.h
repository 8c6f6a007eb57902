#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "entry/internal/call_class.h"
#include "entry/types/problem.h"
#include "logging/event_log.h"
#include "logging/event_throttle.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonlift::entry::internal {

/// The call that an event is about.
struct event_subject {
    call_class& kind;
    const std::string& service; ///< Empty while it is not known.
    core::root_id root;
};

/// The events of an entry, none of them a line for each call. Thread-safe.
class entry_events {
public:
    entry_events(logging::event_log& log, const core::clock& clock);

    /// A connection could not be accepted.
    void not_accepted(const std::string& why, std::uint64_t left_out);

    /// A request that never became a call was refused.
    void malformed(const problem& trouble);

    /// A caller was told of a problem.
    void told(const event_subject& call, const problem& trouble);

    /// A call was not repeated for want of budget.
    void budget_spent(const event_subject& call, spent_budget budget);

    /// An answer that had begun broke off.
    void cut_short(const event_subject& call, std::string_view why);

    /// A frame of an attempt that is not under way was dropped.
    void unknown_frame(const core::attempt_id& attempt);

private:
    void write(logging::event_id id, logging::event_throttle& throttle, const event_subject& call,
               std::string_view name, std::string_view value);

    logging::event_log& m_log;
    logging::event_throttle m_malformed;
    logging::event_throttle m_cut_short;
    logging::event_throttle m_unknown_frame;
};

} // namespace monsoonlift::entry::internal
