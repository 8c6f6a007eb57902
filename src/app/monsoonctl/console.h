#pragma once

#include <iosfwd>
#include <string>

#include <boost/json/object.hpp>

#include "app/monsoonctl/types/exit_code.h"

namespace monsoonlift::monsoonctl {

/// Prints results of commands as text or as one JSON object.
class console {
public:
    console(std::ostream& out, std::ostream& err, bool json);

    /// Prints a result in the selected format and returns `code`.
    exit_code print_result(exit_code code, const std::string& text, const boost::json::object& fields);

    /// Prints a failure, as text to the error stream or as {"error":...} to the output, and returns `code`.
    exit_code print_failure(exit_code code, const std::string& text);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_json;
};

} // namespace monsoonlift::monsoonctl
