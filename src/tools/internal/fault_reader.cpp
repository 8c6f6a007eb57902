#include "tools/fault_reader.h"

#include <string>

#include <boost/json.hpp>

namespace monsoonlift::tools {
namespace {

core::error invalid(const std::string& message) {
    return {core::error_code::invalid_input, message, core::verdict::not_run};
}

bool read_number(const boost::json::value& value, double lowest, double highest, double& out) {
    if (!value.is_number()) {
        return false;
    }
    const double number = value.to_number<double>();
    if (number < lowest || number > highest) {
        return false;
    }
    out = number;
    return true;
}

bool read_flag(const boost::json::value& value, bool& out) {
    if (!value.is_bool()) {
        return false;
    }
    out = value.as_bool();
    return true;
}

bool read_text(const boost::json::value& value, std::string& out) {
    if (!value.is_string()) {
        return false;
    }
    out = value.as_string().c_str();
    return true;
}

bool read_fault(std::string_view name, const boost::json::value& value, fault_settings& faults) {
    constexpr double highest_slow_factor = 10000;
    if (name == "slow_factor") {
        return read_number(value, 0, highest_slow_factor, faults.slow_factor);
    }
    if (name == "fail_fast") {
        return read_number(value, 0, 1, faults.fail_fast);
    }
    if (name == "lie") {
        return read_flag(value, faults.lie);
    }
    if (name == "hang") {
        return read_flag(value, faults.hang);
    }
    if (name == "refuse") {
        return read_flag(value, faults.refuse);
    }
    return name == "crash_on" && read_text(value, faults.crash_on);
}

} // namespace

core::result<fault_settings> read_faults(std::string_view json, fault_settings before) {
    boost::json::error_code error;
    const auto parsed = boost::json::parse({json.data(), json.size()}, error);
    if (error || !parsed.is_object()) {
        return core::fail(invalid("faults must be a JSON object"));
    }
    for (const auto& [name, value] : parsed.as_object()) {
        if (!read_fault({name.data(), name.size()}, value, before)) {
            return core::fail(invalid("unknown fault or value out of range: " + std::string(name)));
        }
    }
    return before;
}

} // namespace monsoonlift::tools
