#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"

namespace monsoonlift::configuration {

/// One difference between two documents.
struct document_change {
    std::string path;   ///< Path made of names, such as "services.squadre.slots".
    std::string before; ///< Old value; empty if there was none.
    std::string after;  ///< New value; empty if there is none.
};

/// Returns the differences, ordered by path. A service, call, caller or account that was added or removed is
/// a single change. Keys of accounts are counted; their digests are never part of a change.
[[nodiscard]] std::vector<document_change> diff(const document& before, const document& after);

/// Formats a change as "services.squadre.slots: 60 -> 70", "services.mappa: added" or "services.mappa:
/// removed".
[[nodiscard]] std::string to_string(const document_change& change);

} // namespace monsoonlift::configuration
