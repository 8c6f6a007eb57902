/// The trace of one request: its log lines from several processes.
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace monsoonlift::monsoonctl {

/// One event line of a log.
struct trace_line {
    std::string time; ///< As logged; the texts sort in the order of time.
    boost::json::object event;
};

/// The log lines of one request in the order of their times, and counts of lines that may be missing.
struct request_trace {
    std::vector<trace_line> lines;
    std::vector<trace_line> left_out; ///< Events with counts of lines that these processes did not write.
    std::size_t lines_read = 0;
    std::size_t lines_not_events = 0; ///< Lines that aren't events, such as output of other programs.
};

/// Collects the trace of one request from logs that are added one after another.
class trace_reader {
public:
    /// `root` is the request's id as written in the header Monsoonlift-Request-Id and in logs.
    explicit trace_reader(std::string root);

    /// Reads a log to its end; lines may come from several processes, in any order.
    void add(std::istream& log);

    /// Returns the trace so far, sorted by time; it has counts of missing lines only for processes with lines
    /// in it.
    [[nodiscard]] request_trace finish() const;

private:
    void add_line(const std::string& line);

    const std::string m_root;
    request_trace m_trace;
};

/// Formats the trace as lines of text: time, process, event, and the event's other fields;
/// then the causes of refusals, as cause_of() words them.
[[nodiscard]] std::string trace_text(const request_trace& trace);

/// Converts the trace to JSON: `lines`, `causes`, `left_out`, `lines_read`, `lines_not_events`.
[[nodiscard]] boost::json::object trace_json(const request_trace& trace);

} // namespace monsoonlift::monsoonctl
