#pragma once

#include "tools/latency_record.h"
#include "tools/types/scenario.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoonlift::tools {

/// How one attempt of a call ended, as observed by its caller.
enum class attempt_end {
    whole,   ///< Answered completely, in time, with status 200 and the expected body.
    shed,    ///< Refused with 429.
    failed,  ///< Answered with any other status.
    timeout, ///< No complete answer within the attempt's timeout.
    broken,  ///< The connection failed or the answer was detectably truncated.
    wrong    ///< Answered with 200, seemingly completely, but with a wrong or truncated body.
};

/// Number of values of attempt_end.
inline constexpr std::size_t attempt_end_count = 6;

/// One attempt: its end, its HTTP status (0 for no answer) and its Monsoonlift-Verdict (empty for none).
struct attempt_report {
    attempt_end end = attempt_end::broken;
    int status = 0;
    std::string verdict;
};

/// One call with all its attempts; `key` is empty for a call without an Idempotency-Key.
struct call_report {
    std::size_t class_index = 0;
    std::chrono::nanoseconds sent{0};    ///< Intended send time, measured from the start of the run.
    std::chrono::nanoseconds latency{0}; ///< From the intended send time to the end of the last attempt.
    std::string key;
    std::vector<attempt_report> attempts;
};

/// Counts for one class of calls; the timelines have one count per timeline_step.
struct class_result {
    std::uint64_t sent = 0;
    std::uint64_t attempts = 0;
    std::uint64_t reached = 0; ///< Calls with an attempt whose verdict is other than not_run, or missing.
    std::uint64_t wrong = 0;   ///< Attempts answered with a wrong or truncated body.
    std::map<std::string, std::uint64_t> ends;     ///< Calls by the end of their last attempt.
    std::map<std::string, std::uint64_t> verdicts; ///< Failed calls by last attempt's verdict, or "none".
    std::map<int, std::uint64_t> statuses;         ///< Attempts by HTTP status; 0 for no answer.
    latency_record latency;                        ///< Latencies of the calls that ended `whole`.
    std::vector<std::uint64_t> sent_timeline;      ///< All calls by intended send time.
    std::vector<std::uint64_t> whole_timeline;     ///< Calls that ended `whole`, by intended send time.
    std::vector<std::uint64_t> done_timeline;      ///< Calls that ended `whole`, by time of completion.
};

/// Width of one step of the timelines in class_result.
inline constexpr std::chrono::milliseconds timeline_step{100};

/// Adds a finished call, which must have at least one attempt.
void add_call(class_result& result, const call_report& call);

/// Adds the counts of `other`, the result of another worker for the same class.
void merge(class_result& result, const class_result& other);

/// Formats the result of the run as one line of JSON.
[[nodiscard]] std::string to_json(const scenario& run, const std::vector<class_result>& results);

/// Formats a single call as one line of JSON, for the record of calls.
[[nodiscard]] std::string to_json(const scenario& run, const call_report& call);

} // namespace monsoonlift::tools
