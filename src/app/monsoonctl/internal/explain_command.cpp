#include <fstream>
#include <istream>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/request_story.h"

namespace monsoonlift::monsoonctl {

namespace {

constexpr auto standard_input = "-";

/// Adds a log to the story; false if it can't be read.
bool add_log(story_reader& reader, const std::string& path, std::istream& input) {
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
    story_reader reader(line.request);
    for (const auto& path : line.logs) {
        if (!add_log(reader, path, input)) {
            return out.failure(exit_code::usage, "can't read " + path);
        }
    }
    const auto story = reader.finish();
    if (story.lines.empty()) {
        return out.failure(exit_code::refused, "no line of request " + line.request + " in " +
                                                   std::to_string(story.lines_read) + " lines read");
    }
    return out.answer(exit_code::ok, story_text(story), story_object(story));
}

} // namespace monsoonlift::monsoonctl
