#include "tools/load_result.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <boost/json.hpp>

namespace monsoonlift::tools {
namespace {

constexpr std::array<std::string_view, attempt_end_count> end_names{"whole",   "shed",   "failed",
                                                                    "timeout", "broken", "wrong"};

std::string name_of(attempt_end end) {
    return std::string(end_names[static_cast<std::size_t>(end)]);
}

void count_at(std::vector<std::uint64_t>& timeline, std::chrono::nanoseconds time) {
    const auto step = static_cast<std::size_t>(time / timeline_step);
    if (timeline.size() <= step) {
        timeline.resize(step + 1);
    }
    ++timeline[step];
}

void add_timeline(std::vector<std::uint64_t>& timeline, const std::vector<std::uint64_t>& other) {
    timeline.resize(std::max(timeline.size(), other.size()));
    for (std::size_t step = 0; step < other.size(); ++step) {
        timeline[step] += other[step];
    }
}

template <class Key>
void add_counts(std::map<Key, std::uint64_t>& counts, const std::map<Key, std::uint64_t>& other) {
    for (const auto& [key, count] : other) {
        counts[key] += count;
    }
}

std::uint64_t count_of(const std::map<std::string, std::uint64_t>& counts, const std::string& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

boost::json::object latency_json(const latency_record& latency) {
    constexpr std::array<std::pair<const char*, double>, 5> quantiles{
        {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}, {"max", 1.0}}};
    boost::json::object json;
    for (const auto& [name, share] : quantiles) {
        json[name] = std::chrono::duration<double, std::micro>(latency.quantile(share)).count();
    }
    return json;
}

boost::json::object class_json(const class_result& result) {
    boost::json::object json;
    json["sent"] = result.sent;
    json["whole"] = count_of(result.ends, "whole");
    json["shed"] = count_of(result.ends, "shed");
    json["attempts"] = result.attempts;
    json["reached"] = result.reached;
    json["wrong_or_short_answers"] = result.wrong;
    json["ends"] = boost::json::value_from(result.ends);
    json["failed_by_verdict"] = boost::json::value_from(result.verdicts);
    boost::json::object statuses;
    for (const auto& [status, count] : result.statuses) {
        statuses[std::to_string(status)] = count;
    }
    json["statuses"] = statuses;
    json["latency_us"] = latency_json(result.latency);
    json["sent_timeline"] = boost::json::value_from(result.sent_timeline);
    json["whole_timeline"] = boost::json::value_from(result.whole_timeline);
    json["done_timeline"] = boost::json::value_from(result.done_timeline);
    return json;
}

} // namespace

void add_call(class_result& result, const call_report& call) {
    const attempt_report& last = call.attempts.back();
    ++result.sent;
    result.attempts += call.attempts.size();
    ++result.ends[name_of(last.end)];
    count_at(result.sent_timeline, call.sent);
    bool reached = false;
    for (const auto& attempt : call.attempts) {
        ++result.statuses[attempt.status];
        result.wrong += attempt.end == attempt_end::wrong ? 1 : 0;
        reached = reached || attempt.verdict != "not_run";
    }
    result.reached += reached ? 1 : 0;
    if (last.end != attempt_end::whole) {
        ++result.verdicts[last.verdict.empty() ? "none" : last.verdict];
        return;
    }
    result.latency.add(call.latency);
    count_at(result.whole_timeline, call.sent);
    count_at(result.done_timeline, call.sent + call.latency);
}

void merge(class_result& result, const class_result& other) {
    result.sent += other.sent;
    result.attempts += other.attempts;
    result.reached += other.reached;
    result.wrong += other.wrong;
    add_counts(result.ends, other.ends);
    add_counts(result.verdicts, other.verdicts);
    add_counts(result.statuses, other.statuses);
    result.latency.merge(other.latency);
    add_timeline(result.sent_timeline, other.sent_timeline);
    add_timeline(result.whole_timeline, other.whole_timeline);
    add_timeline(result.done_timeline, other.done_timeline);
}

std::string to_json(const scenario& run, const std::vector<class_result>& results) {
    boost::json::object classes;
    std::uint64_t wrong = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        classes[run.classes[i].name] = class_json(results[i]);
        wrong += results[i].wrong;
    }
    boost::json::array phases;
    for (const auto& one : run.phases) {
        phases.push_back(boost::json::object{{"name", one.name}, {"duration_ms", one.duration.count()}});
    }
    boost::json::object json;
    json["seed"] = run.seed;
    json["timeline_step_ms"] = timeline_step.count();
    json["phases"] = phases;
    json["wrong_or_short_answers"] = wrong;
    json["classes"] = classes;
    return boost::json::serialize(json);
}

std::string to_json(const scenario& run, const call_report& call) {
    boost::json::array attempts;
    for (const auto& attempt : call.attempts) {
        attempts.push_back(boost::json::object{
            {"end", name_of(attempt.end)}, {"status", attempt.status}, {"verdict", attempt.verdict}});
    }
    boost::json::object json;
    json["class"] = run.classes[call.class_index].name;
    json["key"] = call.key;
    json["sent_ms"] = std::chrono::duration<double, std::milli>(call.sent).count();
    json["latency_ms"] = std::chrono::duration<double, std::milli>(call.latency).count();
    json["attempts"] = attempts;
    return boost::json::serialize(json);
}

} // namespace monsoonlift::tools
