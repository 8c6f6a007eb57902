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

/// Guards of the protocol, each of which the model can leave out to show that it is needed.
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
    bool bind_permit_to_life = true;
    bool keep_refused_past_expiry = true;    ///< Else forgotten at the expiry.
    bool keep_refused_twice_the_skew = true; ///< Else forgotten at the expiry plus the skew.
    bool cover_dropped_attempts = true;
};

/// What one exploration is about.
struct model_options {
    key_kind kind = key_kind::opaque;
    std::chrono::milliseconds caller_clock_ahead{0};
    bool clocks_apart =
        false;                ///< The clocks of gates and entries are set again and again, by up to the skew.
    bool small_fence = false; ///< A gate has room for one refused attempt.
    model_guards guards;
    bool trace = false;
};

/// How far an attempt has come at its gate.
enum class phase { begun, sent };

/// An attempt that its gate has taken on.
struct ticket {
    begin_request request;
    std::size_t entry = 0;
    std::size_t copy = 0;
    phase at = phase::begun;
};

/// What a gate asks of the store.
enum class store_call { read, write };

/// A call on its way to the store.
struct store_request {
    store_call kind = store_call::read;
    std::size_t gate = 0;
    core::incarnation life;
    std::uint64_t number = 0;
    std::uint64_t expected_version = 0;
    home_table table;
    bool is_plan = false;
};

/// The store's answer on its way to the gate.
struct store_answer {
    store_request request;
    bool succeeded = false;
    home_table table;
};

/// One gate, in its present incarnation.
struct model_gate {
    execution_state state;
    std::vector<ticket> tickets;
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
    core::steady_time deadline; ///< Of the whole call: attempts share it.
    unsigned tries = 0;
    bool done = false;
};

/// One entry, in its present incarnation.
struct model_entry {
    core::incarnation life;
    std::uint64_t next_call = 1;
    std::optional<core::endpoint_id> home;
    std::uint64_t homes_version = 0;
    std::chrono::milliseconds clock_offset{0};
    std::vector<model_call> calls;
};

/// An attempt on its way from an entry to a gate.
struct model_frame {
    core::endpoint_id receiver;
    std::size_t entry = 0;
    std::size_t copy = 0;
    begin_request request;
    std::chrono::milliseconds time_left{0};
};

/// A gate's answer on its way to an entry.
struct model_answer {
    std::size_t entry = 0;
    core::attempt_id attempt;
    begin_decision decision;
    bool had_run = false; ///< The key had run when the gate decided.
};

/// All that the model knows: the actors, the messages between them, time and random numbers, and what was
/// seen.
struct protocol_world {
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
    std::uint64_t next_life = 1;
    std::vector<bool> told_not_run; ///< By copy.
    unsigned runs = 0;
    unsigned handovers = 0;
    std::array<unsigned, 3> told{}; ///< By verdict.
    std::optional<std::string> violation;
    std::string trace;

    /// A random number below `count`.
    [[nodiscard]] std::size_t any(std::size_t count);

    /// True in `percent` of 100 draws.
    [[nodiscard]] bool chance(unsigned percent);

    /// Time of day at `now`, by a clock that is `offset` ahead.
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

/// Copies are sent no longer than this after the first one.
constexpr std::chrono::milliseconds resend_window = std::chrono::seconds(60);

/// How far a caller's clock may be ahead.
constexpr std::chrono::milliseconds clock_skew = std::chrono::seconds(2);

/// Messages of one kind under way at once.
constexpr std::size_t most_messages = 12;

/// Time of day when the steady clock is at 0.
constexpr core::wall_time epoch{std::chrono::hours(24 * 365 * 50)};

/// Transport address of a gate.
[[nodiscard]] std::string gate_address(std::size_t index);

/// A gate's incarnation, for the trace.
[[nodiscard]] std::string describe(const core::endpoint_id& gate);

/// Takes one item out of a list.
template <class T> T take(std::vector<T>& items, std::size_t index) {
    T taken = std::move(items[index]);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
}

} // namespace monsoonlift::execution::testing
