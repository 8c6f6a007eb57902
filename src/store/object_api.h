/// Interface to the platform's object store, independent of its wire format; each format has its own
/// implementation.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace monsoonlift::store {

/// One stored object. The version increases with every change of the object and is never reused.
struct object {
    std::string name; ///< Path-like: "configuration/current", "members/10.0.0.1:7000".
    std::uint64_t version = 0;
    std::string value; ///< At most max_value_bytes (1 MB).
};

/// Objects under a prefix, as of the store's revision `revision`.
struct object_list {
    std::uint64_t revision = 0;
    std::vector<object> objects;
};

/// Result of a watch: the changes after a revision, and the revision from which to continue.
struct watch_result {
    std::uint64_t revision = 0;
    std::vector<object> changed;
    std::vector<std::string> removed;
};

/// Asynchronous client of the object API. Each handler runs once, on the executor passed to the
/// implementation. Errors: not_found, conflict (version differs), unavailable (guaranteed to have no effect:
/// verdict not_run), timeout (effect unknown: verdict may_have_run). `patience` is the time-out of a call.
class object_api {
public:
    /// Receives the result or the error of a call.
    template <class T> using handler = std::function<void(core::result<T>)>;

    object_api() = default;
    object_api(const object_api&) = delete;
    object_api& operator=(const object_api&) = delete;
    virtual ~object_api() = default;

    /// Reads one object.
    virtual void get(const std::string& name, std::chrono::milliseconds patience, handler<object> done) = 0;

    /// Lists the objects whose name begins with `prefix`.
    virtual void list(const std::string& prefix, std::chrono::milliseconds patience,
                      handler<object_list> done) = 0;

    /// Writes an object if its version is still `expected_version`; 0 means that it must not exist yet.
    /// Returns the new version.
    virtual void update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                           std::chrono::milliseconds patience, handler<std::uint64_t> done) = 0;

    /// Removes an object if its version is still `expected_version`.
    virtual void remove_if(const std::string& name, std::uint64_t expected_version,
                           std::chrono::milliseconds patience, handler<std::uint64_t> done) = 0;

    /// Waits up to `patience` for changes under `prefix` after `revision`; an empty result means that there
    /// were none. If no answer arrives, the watch fails watch_grace() after `patience`.
    virtual void watch(const std::string& prefix, std::uint64_t revision, std::chrono::milliseconds patience,
                       handler<watch_result> done) = 0;
};

} // namespace monsoonlift::store
