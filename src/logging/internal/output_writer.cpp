#include "logging/output_writer.h"

#include "core/contain.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <climits>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <csignal>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

namespace monsoonlift::logging {

namespace {

using namespace std::chrono_literals;

/// How long the thread waits for the descriptor to become writable before it checks whether to stop.
constexpr std::chrono::milliseconds poll_timeout = 100ms;

/// How long the destructor waits for queued lines to be written, and after that for the thread to stop.
constexpr std::chrono::milliseconds final_flush_timeout = 500ms;

constexpr std::chrono::seconds idle_interval = 1s;

/// How long lines are collected before they are written together, so that a busy process does not wake the
/// thread for each line.
constexpr std::chrono::milliseconds batching_delay = 50ms;

/// Maximum bytes per write: a pipe that polls as writable accepts this many without blocking.
constexpr std::size_t max_write_bytes = PIPE_BUF;

/// Blocks SIGPIPE on this thread, so that a reader that closed its end causes a failed write instead of
/// ending the process.
void block_broken_pipe_signal() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool is_writable(int descriptor) {
    pollfd watched{descriptor, POLLOUT, 0};
    return ::poll(&watched, 1, static_cast<int>(poll_timeout.count())) > 0;
}

} // namespace

/// State shared by the owner and the thread; the thread may outlive the owner if a write never returns.
struct output_writer::state {
    state(int to, std::size_t most, std::function<void()> when_idle)
        : descriptor(to), capacity(most), idle(std::move(when_idle)) {}

    void run();
    void write_next();
    [[nodiscard]] std::string next_bytes();
    void write_bytes(std::string_view rest);
    [[nodiscard]] bool write_piece(std::string_view& rest);
    [[nodiscard]] bool is_given_up() const;
    void call_idle();

    const int descriptor;
    const std::size_t capacity;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> lines;
    bool ending = false;
    bool given_up = false; ///< No more lines are written: the owner's wait timed out or a write failed.
    bool ended = false;
    std::atomic<std::uint64_t> failures = 0;
    std::function<void()> idle;
    std::chrono::steady_clock::time_point next_idle = std::chrono::steady_clock::now() + idle_interval;
};

void output_writer::state::run() {
    block_broken_pipe_signal();
    while (true) {
        core::contain([this] { write_next(); }, [this](const std::string&) { ++failures; });
        const std::scoped_lock lock(mutex);
        if (ending && (lines.empty() || given_up)) {
            ended = true;
            changed.notify_all();
            return;
        }
    }
}

void output_writer::state::write_next() {
    const auto bytes = next_bytes();
    write_bytes(bytes);
    call_idle();
}

std::string output_writer::state::next_bytes() {
    std::unique_lock lock(mutex);
    changed.wait_until(lock, next_idle, [this] { return ending || !lines.empty(); });
    if (!lines.empty()) {
        changed.wait_for(lock, batching_delay, [this] { return ending; });
    }
    std::string bytes;
    for (const auto& line : lines) {
        bytes += line;
        bytes += '\n';
    }
    lines.clear();
    return bytes;
}

void output_writer::state::write_bytes(std::string_view rest) {
    while (!rest.empty() && write_piece(rest)) {
        call_idle();
    }
}

bool output_writer::state::write_piece(std::string_view& rest) {
    if (is_writable(descriptor) && !is_given_up()) {
        const auto written = ::write(descriptor, rest.data(), std::min(rest.size(), max_write_bytes));
        if (written >= 0) {
            rest.remove_prefix(static_cast<std::size_t>(written));
            return true;
        }
        if (errno != EINTR && errno != EAGAIN) {
            const std::scoped_lock lock(mutex);
            given_up = true;
            lines.clear();
        }
    }
    return !is_given_up();
}

bool output_writer::state::is_given_up() const {
    const std::scoped_lock lock(mutex);
    return given_up;
}

void output_writer::state::call_idle() {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_idle) {
        return;
    }
    next_idle = now + idle_interval;
    std::function<void()> call;
    {
        const std::scoped_lock lock(mutex);
        call = ending ? nullptr : idle;
    }
    if (call) {
        call();
    }
}

output_writer::output_writer(int descriptor, std::size_t capacity, std::function<void()> idle)
    : m_state(std::make_shared<state>(descriptor, capacity, std::move(idle))) {
    std::thread([shared = m_state] { shared->run(); }).detach();
}

output_writer::~output_writer() {
    std::unique_lock lock(m_state->mutex);
    m_state->ending = true;
    m_state->changed.notify_all();
    const auto has_ended = [this] {
        return m_state->ended;
    };
    m_state->changed.wait_for(lock, final_flush_timeout, has_ended);
    m_state->given_up = true;
    // NOTE: the thread checks given_up after each wait for the descriptor, so it ends before the owner may
    // close the descriptor.
    m_state->changed.wait_for(lock, final_flush_timeout, has_ended);
}

bool output_writer::push(std::string line) {
    const std::scoped_lock lock(m_state->mutex);
    if (m_state->given_up || m_state->lines.size() >= m_state->capacity) {
        return false;
    }
    m_state->lines.push_back(std::move(line));
    if (m_state->lines.size() == 1) {
        m_state->changed.notify_all();
    }
    return true;
}

std::uint64_t output_writer::failures() const {
    return m_state->failures;
}

bool output_writer::is_reader_gone() const {
    return m_state->is_given_up();
}

bool output_writer::has_room(std::size_t reserved) const {
    const std::scoped_lock lock(m_state->mutex);
    return !m_state->given_up && m_state->lines.size() + reserved < m_state->capacity;
}

} // namespace monsoonlift::logging
