#pragma once

#include <string>

namespace monsoonlift::configuration::tests {

/// Returns a small valid document; different `slots` give different documents.
inline std::string sample_document(int slots = 60) {
    return "format: 1\n"
           "data_centres: [palermo, catania]\n"
           "classes: [dispatch, lookup, refresh]\n"
           "callers:\n"
           "  - {name: crew, patience: 10s}\n"
           "services:\n"
           "  - name: squadre\n"
           "    endpoints: 3\n"
           "    slots: " +
           std::to_string(slots) +
           "\n"
           "    connections: 450\n"
           "    calls:\n"
           "      - {name: dispatch, method: POST, path: /dispatches, class: dispatch, idempotent: false}\n"
           "      - {name: photo, method: POST, path: /dispatches/photos, class: lookup, idempotent: true}\n"
           "      - {name: board, method: GET, path: /, class: refresh, idempotent: true, patience: 250ms}\n";
}

} // namespace monsoonlift::configuration::tests
