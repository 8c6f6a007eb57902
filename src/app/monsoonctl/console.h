#pragma once

#include <iosfwd>
#include <string>

#include <boost/json/object.hpp>

#include "app/monsoonctl/types/exit_code.h"

namespace monsoonlift::monsoonctl {

/// Prints answers as text for people or as one JSON object.
class console {
public:
    console(std::ostream& out, std::ostream& err, bool json);

    /// Prints an answer in the form that was asked for; gives `code` back.
    exit_code answer(exit_code code, const std::string& text, const boost::json::object& fields);

    /// Prints a failure: to the error stream as text, or as {"error":...}; gives `code` back.
    exit_code failure(exit_code code, const std::string& text);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_json;
};

} // namespace monsoonlift::monsoonctl
