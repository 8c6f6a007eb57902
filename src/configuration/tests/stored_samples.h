#pragma once

#include <string>

#include "configuration/stored_configuration_json.h"
#include "configuration/tests/sample_document.h"

namespace monsoonlift::configuration::tests {

/// Returns a valid stored configuration with a matching digest; its document has 100 + `revision` slots, so
/// that revisions differ.
inline stored_configuration stored_sample(std::uint64_t revision) {
    stored_configuration stored;
    stored.revision = revision;
    stored.submission = "s" + std::to_string(revision);
    stored.document = sample_document(100 + static_cast<int>(revision));
    stored.digest = digest_of(stored);
    return stored;
}

} // namespace monsoonlift::configuration::tests
