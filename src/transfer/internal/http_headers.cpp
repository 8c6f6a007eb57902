#include "transfer/http_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace monsoonlift::transfer {

namespace {

constexpr auto hop_by_hop = std::to_array<std::string_view>(
    {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
     "Trailer", "Transfer-Encoding", "Upgrade", "Expect"});

} // namespace

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
                       [&](std::string_view known) { return boost::beast::iequals(known, name); });
}

bool is_listed(std::string_view connection, std::string_view name) {
    boost::beast::http::token_list tokens({connection.data(), connection.size()});
    return tokens.exists({name.data(), name.size()});
}

bool is_own(std::string_view name) {
    return name.size() >= own_header_prefix.size() &&
           boost::beast::iequals(name.substr(0, own_header_prefix.size()), own_header_prefix);
}

} // namespace monsoonlift::transfer
