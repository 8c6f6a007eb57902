#pragma once

#include "execution/execution_rules.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoonlift::execution::testing {

/// Safety rules of the protocol. The model can disable each to show that it is needed.
struct model_guards {
    bool fence_refused_attempts = true;
    bool refuse_seen_keys = true;
    bool stop_before_handover = true;
    bool settle_lost_writes = true;
    bool ignore_older_reads = true;
    bool refuse_future_keys = true;
    bool deadline_before_effect = true;
    bool home_alone_says_not_run = true;
    bool remember_sent = true;
    bool refuse_held_up_frames = true;
    bool bind_permit_to_incarnation = true;
    bool keep_refused_past_expiry = true;    ///< False: refused attempts are removed at their expiry.
    bool keep_refused_twice_the_skew = true; ///< False: removed at their expiry plus the skew.
    bool cover_dropped_attempts = true;
};

/// Options of one exploration.
struct model_options {
    key_kind kind = key_kind::opaque;
    std::chrono::milliseconds caller_clock_ahead{0};
    bool clocks_apart =
        false; ///< Clocks of gates and entries are reset repeatedly; two differ by at most the skew.
    bool small_fence = false; ///< A gate's fence holds one refused attempt.
    model_guards guards;
    bool trace = false;
};

/// Progress of an attempt at its gate.
enum class phase { begun, sent };

/// An attempt that its gate accepted to run.
struct accepted_attempt {
    begin_request request;
    std::size_t entry = 0;
    std::size_t copy = 0;
    phase progress = phase::begun;
};

/// Kind of a gate's call to the store.
enum class store_call { read, write };

/// A call in transit to the store.
struct store_request {
    store_call kind = store_call::read;
    std::size_t gate = 0;
    core::incarnation life;
    std::uint64_t number = 0;
    std::uint64_t expected_version = 0;
    home_table table;
    bool is_proposal = false;
};

/// The store's answer in transit to the gate.
struct store_answer {
    store_request request;
    bool succeeded = false;
    home_table table;
};

/// The current incarnation of a gate.
struct model_gate {
    execution_state state;
    std::vector<accepted_attempt> accepted_attempts;
    std::chrono::milliseconds clock_offset{0};
    std::uint64_t call_number = 0;
    bool calling = false; ///< A store call is outstanding.
    bool running = true;
    bool frozen = false;
    bool destroyed = false;
    bool leaves = false;
};

/// One copy of the caller's request at its entry.
struct model_call {
    std::size_t copy = 0;
    core::attempt_id attempt;
    core::steady_time deadline; ///< Deadline of the call, shared by its attempts.
    unsigned tries = 0;
    bool done = false;
};

/// The current incarnation of an entry.
struct model_entry {
    core::incarnation life;
    std::uint64_t next_call = 1;
    std::optional<core::endpoint_id> home;
    std::uint64_t homes_version = 0;
    std::chrono::milliseconds clock_offset{0};
    std::vector<model_call> calls;
};

/// An attempt in transit from an entry to a gate.
struct model_frame {
    core::endpoint_id receiver;
    std::size_t entry = 0;
    std::size_t copy = 0;
    begin_request request;
    std::chrono::milliseconds time_left{0};
};

/// A gate's answer in transit to an entry.
struct model_answer {
    std::size_t entry = 0;
    core::attempt_id attempt;
    begin_decision decision;
    bool had_run = false; ///< The key had run when the gate decided.
};

/// State of the simulation: entries, gates and store, messages in transit, virtual time, random engine and
/// results.
struct protocol_environment {
    model_options options;
    std::mt19937_64 random;
    core::steady_time now{std::chrono::hours(1)};
    std::array<model_gate, 2> gates;
    std::array<model_entry, 2> entries;
    std::vector<model_frame> frames;
    std::vector<model_answer> answers;
    home_table store;
    std::vector<store_request> store_requests;
    std::vector<store_answer> store_answers;
    execution_key key;
    core::steady_time first_send;
    std::uint64_t next_incarnation = 1;
    std::vector<bool> received_not_run; ///< For each copy, whether its caller received not_run.
    unsigned runs = 0;
    unsigned handovers = 0;
    std::array<unsigned, 3> received{}; ///< Verdicts that callers received, counted by verdict.
    std::optional<std::string> violation;
    std::string trace;

    /// Returns a random index below `count`.
    [[nodiscard]] std::size_t random_index(std::size_t count);

    /// Returns true with a probability of `percent` percent.
    [[nodiscard]] bool chance(unsigned percent);

    /// Returns the time of day at `now` on a clock that is `offset` ahead.
    [[nodiscard]] core::wall_time wall_now(std::chrono::milliseconds offset = {}) const;

    /// Adds a line to the trace; `make_text` is called only while tracing.
    template <class MakeText> void note(MakeText make_text) {
        if (options.trace) {
            add_line(make_text());
        }
    }

private:
    void add_line(const std::string& what);
};

/// The caller sends no copy later than this after the first one.
constexpr std::chrono::milliseconds resend_window = std::chrono::seconds(60);

/// Allowed difference between clocks.
constexpr std::chrono::milliseconds clock_skew = std::chrono::seconds(2);

/// Largest number of frames, answers or store requests in transit at a time.
constexpr std::size_t most_messages = 12;

/// Time of day when the steady clock is at 0.
constexpr core::wall_time epoch{std::chrono::hours(24 * 365 * 50)};

/// Returns the transport address of a gate.
[[nodiscard]] std::string gate_address(std::size_t index);

/// Returns a gate's address and incarnation for the trace.
[[nodiscard]] std::string describe(const core::endpoint_id& gate);

/// Removes an item from a list and returns it.
template <class T> T take(std::vector<T>& items, std::size_t index) {
    T taken = std::move(items[index]);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
}

} // namespace monsoonlift::execution::testing
