#include "app/monsoonctl/request_trace.h"

#include "app/monsoonctl/refusal_cause.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::monsoonctl {

namespace {

constexpr std::string_view left_out_event = "lines_left_out";
constexpr std::string_view refusal_event = "call_refused";

/// Fields that are printed before the others, or that add no information to the trace of one request.
constexpr std::array<std::string_view, 6> fields_not_listed{"time",     "event",   "name",
                                                            "severity", "process", "root"};

std::string text_of(const boost::json::object& event, std::string_view name) {
    const auto* value = event.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool is_listed(std::string_view name) {
    return std::find(fields_not_listed.begin(), fields_not_listed.end(), name) == fields_not_listed.end();
}

std::string value_text(const boost::json::value& value) {
    return value.is_string() ? std::string(value.get_string()) : boost::json::serialize(value);
}

bool is_earlier(const trace_line& left, const trace_line& right) {
    return left.time < right.time;
}

std::string line_text(const trace_line& line) {
    std::string text = line.time + "  " + text_of(line.event, "process") + "  " + text_of(line.event, "name");
    for (const auto& field : line.event) {
        const std::string value = value_text(field.value());
        if (is_listed(field.key()) && !value.empty()) {
            text += "  " + std::string(field.key()) + "=" + value;
        }
    }
    return text + "\n";
}

/// The causes of the refusals in the trace that its lines name only by type, each once.
std::vector<std::string> causes_in(const request_trace& trace) {
    std::vector<std::string> causes;
    for (const auto& line : trace.lines) {
        const auto type = text_of(line.event, "type");
        const bool is_refusal = text_of(line.event, "name") == refusal_event;
        const auto cause = is_refusal ? cause_of(type) : std::string_view();
        auto text = type + ": " + std::string(cause);
        if (!cause.empty() && std::find(causes.begin(), causes.end(), text) == causes.end()) {
            causes.push_back(std::move(text));
        }
    }
    return causes;
}

std::set<std::string> processes_of(const request_trace& trace) {
    std::set<std::string> processes;
    for (const auto& line : trace.lines) {
        processes.insert(text_of(line.event, "process"));
    }
    return processes;
}

boost::json::array events_of(const std::vector<trace_line>& lines) {
    boost::json::array events;
    for (const auto& line : lines) {
        events.push_back(line.event);
    }
    return events;
}

} // namespace

trace_reader::trace_reader(std::string root) : m_root(std::move(root)) {}

void trace_reader::add(std::istream& log) {
    std::string line;
    while (std::getline(log, line)) {
        if (!line.empty()) {
            add_line(line);
        }
    }
}

void trace_reader::add_line(const std::string& line) {
    ++m_trace.lines_read;
    boost::system::error_code fault;
    auto parsed = boost::json::parse(line, fault);
    const bool is_event = !fault && parsed.is_object() && !text_of(parsed.get_object(), "name").empty();
    if (!is_event) {
        ++m_trace.lines_not_events;
        return;
    }
    auto& event = parsed.get_object();
    trace_line entry{text_of(event, "time"), {}};
    if (text_of(event, "root") == m_root) {
        entry.event = std::move(event);
        m_trace.lines.push_back(std::move(entry));
    } else if (text_of(event, "name") == left_out_event) {
        entry.event = std::move(event);
        m_trace.left_out.push_back(std::move(entry));
    }
}

request_trace trace_reader::finish() const {
    request_trace trace = m_trace;
    std::stable_sort(trace.lines.begin(), trace.lines.end(), is_earlier);
    std::stable_sort(trace.left_out.begin(), trace.left_out.end(), is_earlier);
    const auto processes = processes_of(trace);
    std::erase_if(trace.left_out, [&](const trace_line& line) {
        return !processes.contains(text_of(line.event, "process"));
    });
    return trace;
}

std::string trace_text(const request_trace& trace) {
    std::string text;
    for (const auto& line : trace.lines) {
        text += line_text(line);
    }
    for (const auto& cause : causes_in(trace)) {
        text += "cause: " + cause + "\n";
    }
    text += std::to_string(trace.lines.size()) + " lines of " + std::to_string(processes_of(trace).size()) +
            " processes, of " + std::to_string(trace.lines_read) + " lines read\n";
    if (trace.lines_not_events > 0) {
        text += std::to_string(trace.lines_not_events) + " lines read are no events\n";
    }
    if (!trace.left_out.empty()) {
        text += "these processes left lines out, so the story may have gaps:\n";
    }
    for (const auto& line : trace.left_out) {
        text += line_text(line);
    }
    return text;
}

boost::json::object trace_json(const request_trace& trace) {
    boost::json::array causes;
    for (const auto& cause : causes_in(trace)) {
        causes.emplace_back(cause);
    }
    return {{"lines", events_of(trace.lines)},
            {"causes", std::move(causes)},
            {"left_out", events_of(trace.left_out)},
            {"lines_read", trace.lines_read},
            {"lines_not_events", trace.lines_not_events}};
}

} // namespace monsoonlift::monsoonctl
