/// At-most-once execution at a gate, thread-safe. How a gate uses it for each non-idempotent attempt:
///
///   1. Call begin() when the request arrives, before it is queued or shed. On `run`, continue; on `replay`,
///      send the stored answer with verdict `ran`; on `refuse`, answer with the decision's verdict; on
///      `drop`, send no answer.
///   2. If the request is shed, cancelled or times out before it is sent, call abandon() and answer not_run.
///   3. Right before the first byte goes to the backend server, call mark_sent(). If it returns false, answer
///      not_run.
///   4. After that, call exactly one of the finish functions.
///
/// If the gate refuses an attempt with not_run without calling begin(), it calls refuse() for it.
///
/// The entry sends a keyed non-idempotent request to the home of its key (home_directory.h) and forwards only
/// that gate's verdict. It doesn't answer not_run on its own, since an earlier copy of the same key may have
/// run: if the home doesn't answer, the verdict is may_have_run.
#pragma once

#include "core/clock.h"
#include "execution/execution_rules.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::execution {

/// Current sizes and the version of the home table, for metrics.
struct execution_counts {
    std::size_t records = 0;
    std::size_t answer_bytes = 0;
    std::size_t homes_held = 0;      ///< Slots of the home table held by this gate.
    std::uint64_t homes_version = 0; ///< 0: the table has not been read.
};

/// Execution records and home table of one gate. The lock is held only inside each call; no other lock is
/// taken while it is held.
class execution_ledger {
public:
    /// Starts without records and without slots; `clock` must outlive the ledger.
    execution_ledger(const core::clock& clock, core::endpoint_id self, execution_limits limits);

    /// Sets how long callers may resend a key, from the configuration.
    void set_resend_window(std::chrono::milliseconds window);

    /// Decides whether an attempt runs. `known_homes_version` is the entry's version of the home table; if it
    /// is later than this gate's, the handler of on_homes_outdated() is called.
    [[nodiscard]] begin_decision begin(const begin_request& request, std::uint64_t known_homes_version = 0);

    /// Marks a request as sent; false if it must not be sent. Call it right before sending.
    [[nodiscard]] bool mark_sent(const std::string& key);

    /// Removes the record of a request that was not sent and refuses its attempt permanently.
    void abandon(const std::string& key);

    /// Records that a request ran, and stores its answer for later copies if it is small enough.
    void finish_ran(const std::string& key, stored_answer answer);

    /// Records the verdict on a request that was sent and got no complete answer.
    void finish_without_answer(const std::string& key, core::verdict verdict);

    /// Removes the record of a request that was sent but certainly did not run, and refuses its attempt
    /// permanently.
    void finish_not_run(const std::string& key);

    /// Refuses every later copy of an attempt that was answered not_run without begin(); `expiry` has the
    /// meaning of begin_request::expiry.
    void refuse(const core::attempt_id& attempt, core::wall_time expiry);

    /// Removes records whose retention time has passed; call it about once per second.
    void expire();

    /// Returns the current sizes.
    [[nodiscard]] execution_counts counts() const;

    // The functions below are for home_keeper.

    /// Sets the handler that is called when an entry has a later version of the home table than this gate;
    /// call it before threads start.
    void on_homes_outdated(std::function<void()> handler);

    /// Sets the handler that is called when begin() doesn't know the home of a key; call it before threads
    /// start.
    void on_home_unknown(std::function<void()> handler);

    /// Returns the latest version of the home table that this gate has.
    [[nodiscard]] home_table homes() const;

    /// Adopts a table that was read from the platform, unless it is older than the current one.
    void adopt_homes(const home_table& read);

    /// Returns the write whose outcome isn't known yet; empty: none.
    [[nodiscard]] std::optional<pending_homes> pending_write() const;

    /// Returns the table to write next, empty if nothing needs to change or a write is pending. From now on
    /// this gate refuses the keys of the slots that the table gives away.
    [[nodiscard]] std::optional<home_table> begin_homes_write(const std::vector<core::endpoint_id>& others,
                                                              bool leaves);

    /// Records that the write of begin_homes_write() took effect and gave the table this version.
    void confirm_homes_write(std::uint64_t version);

    /// Records that the write of begin_homes_write() certainly had no effect.
    void cancel_homes_write();

private:
    const core::clock& m_clock;
    mutable std::mutex m_mutex;
    execution_state m_state;
    std::function<void()> m_on_homes_outdated;
    std::function<void()> m_on_home_unknown;
};

} // namespace monsoonlift::execution
