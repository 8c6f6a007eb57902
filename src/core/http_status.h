/// Classes of HTTP status codes, for every reader of answers (RFC 9110, section 15).
#pragma once

namespace monsoonlift::core {

/// Whether an answer with this status has no body and another answer to the same request follows. Not 101:
/// what follows it is of another protocol, which no request here asks for.
[[nodiscard]] constexpr bool is_interim_status(unsigned status) {
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status <= 199 && status != switching_protocols;
}

/// Whether an answer with this status is the last one to its request. A status that is neither final nor
/// interim is none of HTTP, so its message has no known end.
[[nodiscard]] constexpr bool is_final_status(unsigned status) {
    return status >= 200 && status <= 599;
}

/// Whether a final answer with this status says that the server failed.
[[nodiscard]] constexpr bool is_server_error(unsigned status) {
    return status >= 500;
}

/// Whether another answer to the same request follows the one whose head `parser`, one of Beast's, has read.
/// One that states a body is malformed instead: its body would be read as the next head.
template <class Parser> [[nodiscard]] bool is_interim(const Parser& parser) {
    const bool states_body = parser.content_length() || parser.chunked();
    return is_interim_status(parser.get().result_int()) && !states_body;
}

} // namespace monsoonlift::core
