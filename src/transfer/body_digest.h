#pragma once

#include "transport/types/frame.h"

#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace monsoonlift::transfer {

/// Computes the length and the XXH3 digest of a body incrementally.
class body_digest {
public:
    body_digest();
    ~body_digest();
    body_digest(const body_digest&) = delete;
    body_digest& operator=(const body_digest&) = delete;
    body_digest(body_digest&&) noexcept;
    body_digest& operator=(body_digest&&) noexcept;

    /// Adds the next bytes of the body.
    void add(std::string_view bytes);

    /// Returns the length and the digest of the bytes added so far.
    [[nodiscard]] transport::body_total total() const;

    /// Number of bytes added so far.
    [[nodiscard]] std::uint64_t length() const { return m_length; }

private:
    struct state_deleter {
        void operator()(XXH3_state_s* state) const;
    };

    std::unique_ptr<XXH3_state_s, state_deleter> m_state;
    std::uint64_t m_length = 0;
};

/// Returns the length and the digest of a complete body.
[[nodiscard]] transport::body_total total_of(std::string_view body);

/// Whether the length and the digest are the same at the sender and the receiver.
[[nodiscard]] bool matches(const transport::body_total& left, const transport::body_total& right);

} // namespace monsoonlift::transfer
