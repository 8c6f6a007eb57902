/// Detects lines of a message's head that go on in the next one (RFC 9112, section 5.2).
#pragma once

#include <string_view>

namespace monsoonlift::transfer {

/// Whether a line of a head goes on in the next one, which begins with a blank or a tab. `bytes` begin at the
/// beginning of a line of the head or at its end, and may go on in the body.
[[nodiscard]] bool has_folded_line(std::string_view bytes);

} // namespace monsoonlift::transfer
