/// monsoonctl: the operators' command line tool.
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <variant>

#include "app/monsoonctl/command_line_parser.h"
#include "app/monsoonctl/commands.h"

namespace {

namespace tool = monsoonlift::monsoonctl;

std::string read_file(const std::string& path) {
    if (path == "-") {
        return {std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string read_token(const std::string& path) {
    const auto text = read_file(path);
    return text.substr(0, text.find_last_not_of(" \t\r\n") + 1);
}

tool::exit_code run(const tool::command_line& line, tool::console& out) {
    tool::control_session session(line.platform);
    switch (line.what) {
    case tool::command::validate:
        return tool::run_validate(read_file(line.file), out);
    case tool::command::submit:
        return tool::run_submit(line, read_file(line.file), session, out);
    case tool::command::show:
        return tool::run_show(line, session, out);
    case tool::command::accounts:
        return tool::run_accounts(line, session, out);
    case tool::command::diff:
        return tool::run_diff(line, read_file(line.file), session, out);
    case tool::command::history:
        return tool::run_history(line, session, out);
    case tool::command::status:
        return tool::run_status(line, session, out);
    case tool::command::drain:
        return tool::run_drain(line, read_token(line.token_file), session, out);
    case tool::command::quarantine_list:
        return tool::run_quarantine_list(line, session, out);
    case tool::command::quarantine_hold:
        return tool::run_quarantine_ruling(line, true, read_token(line.token_file), session, out);
    case tool::command::quarantine_release:
        return tool::run_quarantine_ruling(line, false, read_token(line.token_file), session, out);
    case tool::command::fence:
        return tool::run_fence(line, session, out);
    case tool::command::explain:
        return tool::run_explain(line, std::cin, out);
    }
    return tool::exit_code::usage;
}

tool::exit_code run_checked(const std::vector<std::string>& arguments) {
    const auto parsed = tool::parse_command_line(arguments);
    if (const auto* ended = std::get_if<tool::early_exit>(&parsed)) {
        (ended->is_error ? std::cerr : std::cout) << ended->text;
        return ended->is_error ? tool::exit_code::usage : tool::exit_code::ok;
    }
    const auto& line = std::get<tool::command_line>(parsed);
    tool::console out(std::cout, std::cerr, line.json);
    try {
        return run(line, out);
    } catch (const std::exception& wrong) {
        return out.print_failure(tool::exit_code::usage, wrong.what());
    }
}

} // namespace

int main(int argc, char** argv) {
    return static_cast<int>(run_checked({argv + 1, argv + argc}));
}
