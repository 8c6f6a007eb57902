/// At most once at a gate, thread-safe. How a gate uses it for each non-idempotent attempt:
///
///   1. When the request arrives, before it may wait or be shed: begin(). With `run` go on; with `replay`
///   answer
///      what is stored, verdict `ran`; with `refuse` answer the decision's verdict; with `drop` answer
///      nothing.
///   2. If it is shed, cancelled or times out before it is sent: abandon(), then answer not_run.
///   3. Right before the first byte goes to the backend server: mark_sent(). If false, answer not_run.
///   4. After that exactly one of the finish functions.
///
/// An attempt that the gate refuses with not_run without begin() is named by refuse().
///
/// The entry sends a keyed non-idempotent request to the home of its key (home_directory.h) and passes on the
/// verdict of that gate alone. It doesn't answer not_run on its own, since an earlier copy of the same key
/// may have run: without an answer of the home it says may_have_run.
#pragma once

#include "core/clock.h"
#include "execution/execution_rules.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::execution {

/// Sizes, for metrics.
struct execution_counts {
    std::size_t records = 0;
    std::size_t answer_bytes = 0;
    std::size_t homes_held = 0;
    std::uint64_t homes_version = 0;
};

/// The records and homes of one gate. The lock is held only inside each call; it is a leaf of the lock order.
class execution_ledger {
public:
    /// Nothing is recorded and no slot is held yet; `clock` outlives the ledger.
    execution_ledger(const core::clock& clock, core::endpoint_id self, execution_limits limits);

    /// Follows the configuration.
    void set_resend_window(std::chrono::milliseconds window);

    /// Decides on an attempt. `known_homes_version` is what the entry knows; if it is later than this gate's,
    /// the handler of on_behind() is called.
    [[nodiscard]] begin_decision begin(const begin_request& request, std::uint64_t known_homes_version = 0);

    /// True if the request may be sent now.
    [[nodiscard]] bool mark_sent(const std::string& key);

    /// Forgets a request that was not sent and refuses its attempt for good.
    void abandon(const std::string& key);

    /// Keeps the answer of a request that ran, if it is small, for later copies.
    void finish_ran(const std::string& key, stored_answer answer);

    /// Keeps the verdict on a request that was sent and brought no whole answer.
    void finish_without_answer(const std::string& key, core::verdict verdict);

    /// Forgets a request that was sent and surely did not run, and refuses its attempt for good.
    void finish_not_run(const std::string& key);

    /// Refuses every later copy of an attempt that was answered not_run without begin(); `expiry` as its
    /// begin_request would have it.
    void refuse(const core::attempt_id& attempt, core::wall_time expiry);

    /// Forgets what is past its time; call it about once a second.
    void expire();

    /// What is held now.
    [[nodiscard]] execution_counts counts() const;

    // For home_keeper.

    /// Sets the handler that is told when an entry knows a later table of homes; before threads start.
    void on_behind(std::function<void()> handler);

    /// Sets the handler that is told when a key's home is unknown here; before threads start.
    void on_home_unknown(std::function<void()> handler);

    /// The table as this gate knows it.
    [[nodiscard]] home_table homes() const;

    /// Takes in a table that was read.
    void adopt_homes(const home_table& read);

    /// The write whose outcome isn't known, if there is one.
    [[nodiscard]] std::optional<pending_homes> pending_write() const;

    /// What to write next, if anything; slots given away are refused from now on.
    [[nodiscard]] std::optional<home_table> begin_homes_write(const std::vector<core::endpoint_id>& others,
                                                              bool leaves);

    /// The write of begin_homes_write() took effect as this version.
    void confirm_homes_write(std::uint64_t version);

    /// The write of begin_homes_write() surely had no effect.
    void cancel_homes_write();

private:
    const core::clock& m_clock;
    mutable std::mutex m_mutex;
    execution_state m_state;
    std::function<void()> m_on_behind;
    std::function<void()> m_on_home_unknown;
};

} // namespace monsoonlift::execution
