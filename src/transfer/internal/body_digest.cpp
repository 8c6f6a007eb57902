#include "transfer/body_digest.h"

#include <xxhash.h>

namespace monsoonlift::transfer {

body_digest::body_digest() : m_state(XXH3_createState()) {
    XXH3_64bits_reset(m_state.get());
}

body_digest::~body_digest() = default;
body_digest::body_digest(body_digest&&) noexcept = default;
body_digest& body_digest::operator=(body_digest&&) noexcept = default;

void body_digest::add(std::string_view bytes) {
    XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
    m_length += bytes.size();
}

transport::body_total body_digest::total() const {
    return {m_length, XXH3_64bits_digest(m_state.get())};
}

void body_digest::state_deleter::operator()(XXH3_state_s* state) const {
    XXH3_freeState(state);
}

transport::body_total total_of(std::string_view body) {
    return {body.size(), XXH3_64bits(body.data(), body.size())};
}

bool matches(const transport::body_total& left, const transport::body_total& right) {
    return left.length == right.length && left.digest == right.digest;
}

} // namespace monsoonlift::transfer
