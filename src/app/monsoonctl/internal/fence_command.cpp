#include "app/monsoonctl/commands.h"

#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "app/monsoonctl/result_format.h"
#include "execution/home_table.h"

namespace monsoonlift::monsoonctl {

namespace json = boost::json;

namespace {

constexpr int max_tries = 5;

std::string homes_object(const command_line& line) {
    return "homes/" + line.service;
}

store::settled<execution::home_table> read_table(const command_line& line, control_session& session) {
    const auto answer = session.wait<store::object>(
        [&](auto done) { session.api().get(homes_object(line), line.patience, std::move(done)); });
    if (!answer.value) {
        return {std::nullopt, answer.failure};
    }
    auto table = execution::read_homes(answer.value->value, answer.value->version);
    if (!table) {
        return {std::nullopt,
                {core::error_code::internal, homes_object(line) + " does not hold a table of homes"}};
    }
    return {std::move(table), {}};
}

/// Records the assertion in an object named after the table's version, which at most one change replaces.
core::error record_assertion(const command_line& line, const execution::home_table& table,
                             control_session& session) {
    const auto name = "fences/" + line.service + "/" + std::to_string(table.version);
    auto entry = json::serialize(json::object{{"who", line.who},
                                              {"when", utc_text(session.clock().wall_now())},
                                              {"address", line.address},
                                              {"message", line.message},
                                              {"from_version", table.version}});
    constexpr std::uint64_t must_be_new = 0;
    const auto answer = session.wait<std::uint64_t>([&](auto done) {
        session.api().update_if(name, must_be_new, std::move(entry), line.patience, std::move(done));
    });
    return answer.value ? core::error{} : answer.failure;
}

store::settled<std::uint64_t> write_table(const command_line& line, const execution::home_table& table,
                                          control_session& session) {
    const auto fenced = execution::fence_holder(table, line.address, session.clock().wall_now());
    return session.wait<std::uint64_t>([&](auto done) {
        session.api().update_if(homes_object(line), table.version, execution::write_homes(fenced),
                                line.patience, std::move(done));
    });
}

std::size_t count_slots(const execution::home_table& table, const std::string& address) {
    std::size_t count = 0;
    for (const auto& slot : table.slots) {
        count += slot.holder.address == address ? 1 : 0;
    }
    return count;
}

exit_code print_fenced(const command_line& line, std::size_t freed, console& out) {
    return out.print_result(exit_code::ok,
                            line.address + " holds no keys of " + line.service +
                                " any more; slots freed: " + std::to_string(freed),
                            {{"address", line.address}, {"service", line.service}, {"freed", freed}});
}

} // namespace

exit_code run_fence(const command_line& line, control_session& session, console& out) {
    std::size_t freed = 0;
    core::error failure;
    for (int tried = 0; tried < max_tries; ++tried) {
        const auto table = read_table(line, session);
        if (!table.value) {
            return out.print_failure(exit_code_of(table.failure), table.failure.message);
        }
        const auto held = count_slots(*table.value, line.address);
        if (held == 0 && freed == 0) {
            return out.print_failure(exit_code::refused, line.address + " holds no keys of " + line.service);
        }
        if (held == 0) {
            return print_fenced(line, freed, out);
        }
        freed = held;
        failure = record_assertion(line, *table.value, session);
        const bool recorded = failure.message.empty() || failure.code == core::error_code::conflict ||
                              failure.run == core::verdict::may_have_run;
        if (!recorded) {
            return out.print_failure(exit_code_of(failure), failure.message);
        }
        const auto written = write_table(line, *table.value, session);
        if (written.value) {
            return print_fenced(line, freed, out);
        }
        failure = written.failure;
    }
    return out.print_failure(exit_code_of(failure), failure.message);
}

} // namespace monsoonlift::monsoonctl
