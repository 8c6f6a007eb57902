#include "app/monsoonctl/console.h"

#include <ostream>
#include <utility>

#include <boost/json/serialize.hpp>

namespace monsoonlift::monsoonctl {

console::console(std::ostream& out, std::ostream& err, bool json) : m_out(out), m_err(err), m_json(json) {}

exit_code console::print_result(exit_code code, const std::string& text, const boost::json::object& fields) {
    if (m_json) {
        m_out << boost::json::serialize(fields) << '\n';
        return code;
    }
    m_out << text;
    if (!text.empty() && text.back() != '\n') {
        m_out << '\n';
    }
    return code;
}

exit_code console::print_failure(exit_code code, const std::string& text) {
    if (m_json) {
        return print_result(code, {}, {{"error", text}});
    }
    m_err << "monsoonctl: " << text << '\n';
    return code;
}

} // namespace monsoonlift::monsoonctl
