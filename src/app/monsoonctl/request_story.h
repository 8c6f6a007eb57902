/// What log lines of several processes say of one request.
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace monsoonlift::monsoonctl {

/// One line of a log that belongs to the story.
struct story_line {
    std::string time; ///< As written; texts of this form sort by time.
    boost::json::object event;
};

/// The lines of one request in the order of their times, and what may be missing between them.
struct request_story {
    std::vector<story_line> lines;
    std::vector<story_line> left_out; ///< Counts of lines that processes of the story did not write.
    std::size_t lines_read = 0;
    std::size_t lines_not_events = 0; ///< Text that is no event line, such as output of other programs.
};

/// Collects the story of one request from logs that are added one after another.
class story_reader {
public:
    /// `root` is the request's id as callers and logs spell it.
    explicit story_reader(std::string root);

    /// Reads a log to its end; lines may come from several processes, in any order.
    void add(std::istream& log);

    /// The story so far, sorted by time; counts of lines left out only of processes that are part of it.
    [[nodiscard]] request_story finish() const;

private:
    void add_line(const std::string& line);

    const std::string m_root;
    request_story m_story;
};

/// The story as lines for people: time, process, event, and the event's other fields.
[[nodiscard]] std::string story_text(const request_story& story);

/// The story as JSON: `lines`, `left_out`, `lines_read`, `lines_not_events`.
[[nodiscard]] boost::json::object story_object(const request_story& story);

} // namespace monsoonlift::monsoonctl
