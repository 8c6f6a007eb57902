#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"

namespace monsoonlift::configuration {

/// One difference between two documents.
struct document_change {
    std::string path;   ///< By names: "services.squadre.slots".
    std::string before; ///< Empty if it was absent.
    std::string after;  ///< Empty if it is absent.
};

/// What differs, ordered by path. A service, call or caller that is new or gone is one change.
[[nodiscard]] std::vector<document_change> diff(const document& before, const document& after);

/// "services.squadre.slots: 60 -> 70", "services.mappa: added" or "services.mappa: removed".
[[nodiscard]] std::string to_string(const document_change& change);

} // namespace monsoonlift::configuration
