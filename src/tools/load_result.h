#pragma once

#include "tools/latency_record.h"
#include "tools/types/scenario.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoonlift::tools {

/// How one attempt of a call ended, as its caller sees it.
enum class attempt_end {
    whole,   ///< Complete, in time, with status 200, and the answer that was asked for.
    shed,    ///< Refused with 429.
    failed,  ///< Any other status.
    timeout, ///< No whole answer within the attempt's time.
    broken,  ///< The connection failed or the answer was cut visibly.
    wrong    ///< Seemingly complete, but not the answer that was asked for, or short.
};

/// Number of values of attempt_end.
inline constexpr std::size_t attempt_ends = 6;

/// One attempt: its end, and the verdict header if there was one.
struct attempt_report {
    attempt_end end = attempt_end::broken;
    int status = 0;
    std::string verdict;
};

/// One call with all its attempts.
struct call_report {
    std::size_t class_index = 0;
    std::chrono::nanoseconds sent{0};    ///< Intended send time, from the start of the run.
    std::chrono::nanoseconds latency{0}; ///< From the intended send time to the end of the last attempt.
    std::string key;
    std::vector<attempt_report> attempts;
};

/// Counts for one class.
struct class_result {
    std::uint64_t sent = 0;
    std::uint64_t attempts = 0;
    std::uint64_t reached = 0;                 ///< Calls with an attempt that ended in other than not_run.
    std::uint64_t wrong = 0;                   ///< Attempts answered wrongly or short.
    std::map<std::string, std::uint64_t> ends; ///< Calls by the end of their last attempt.
    std::map<std::string, std::uint64_t> verdicts; ///< Calls that failed, by the last attempt's verdict.
    std::map<int, std::uint64_t> statuses;         ///< Attempts by status; 0 for none.
    latency_record latency;                        ///< Of whole calls.
    std::vector<std::uint64_t> sent_timeline;      ///< By intended send time.
    std::vector<std::uint64_t> whole_timeline;     ///< Whole calls by intended send time.
    std::vector<std::uint64_t> done_timeline;      ///< Whole calls by time of completion.
};

/// Width of a step of the timelines.
inline constexpr std::chrono::milliseconds timeline_step{100};

/// Adds a call that ended.
void add_call(class_result& result, const call_report& call);

/// Adds the counts of another worker.
void merge(class_result& result, const class_result& other);

/// The run's result as one line of JSON.
[[nodiscard]] std::string to_json(const scenario& run, const std::vector<class_result>& results);

/// The call as one line of JSON, for records of single calls.
[[nodiscard]] std::string to_json(const scenario& run, const call_report& call);

} // namespace monsoonlift::tools
