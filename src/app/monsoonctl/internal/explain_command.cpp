#include <fstream>
#include <istream>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/request_trace.h"

namespace monsoonlift::monsoonctl {

namespace {

constexpr auto standard_input = "-";

/// Adds a log to the trace; returns false if it can't be opened.
bool add_log(trace_reader& reader, const std::string& path, std::istream& input) {
    if (path == standard_input) {
        reader.add(input);
        return true;
    }
    std::ifstream log(path);
    if (!log) {
        return false;
    }
    reader.add(log);
    return true;
}

} // namespace

exit_code run_explain(const command_line& line, std::istream& input, console& out) {
    trace_reader reader(line.request);
    for (const auto& path : line.logs) {
        if (!add_log(reader, path, input)) {
            return out.print_failure(exit_code::usage, "can't read " + path);
        }
    }
    const auto trace = reader.finish();
    if (trace.lines.empty()) {
        return out.print_failure(exit_code::refused, "no line of request " + line.request + " in " +
                                                         std::to_string(trace.lines_read) + " lines read");
    }
    return out.print_result(exit_code::ok, trace_text(trace), trace_json(trace));
}

} // namespace monsoonlift::monsoonctl
