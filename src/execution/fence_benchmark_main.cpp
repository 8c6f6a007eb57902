/// Measures memory and CPU time of attempt_fence when 920 entries fill it.
#include "execution/attempt_fence.h"

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using namespace monsoonlift;
using namespace std::chrono_literals;

constexpr std::uint64_t origin_count = 920;
constexpr std::uint64_t default_calls = 4'096;
constexpr core::wall_time start{1'700'000'000'000ms};
constexpr std::chrono::milliseconds skew = 10s;

std::size_t bytes_in_use() {
    const struct mallinfo2 use = mallinfo2();
    return use.uordblks + use.hblkhd;
}

/// Runs `step` for `calls` calls of each entry; returns the mean time of a step in nanoseconds.
template <class Step> double nanoseconds_each(std::uint64_t calls, Step step) {
    const auto begun = std::chrono::steady_clock::now();
    for (std::uint64_t call = 1; call <= calls; ++call) {
        for (std::uint64_t origin = 1; origin <= origin_count; ++origin) {
            step(core::attempt_id{{origin}, call, 0});
        }
    }
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begun;
    return time.count() / static_cast<double>(calls * origin_count);
}

void print(const std::string& name, double value, const char* end = ",") {
    std::cout << '"' << name << R"(":)" << value << end;
}

} // namespace

int main(int count, char** arguments) {
    const std::uint64_t calls = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : default_calls;
    if (calls == 0) {
        std::cerr << "usage: monsoonlift-fence-benchmark [CALLS_OF_EACH_ENTRY]\n";
        return 1;
    }
    const std::size_t bytes_before = bytes_in_use();
    execution::attempt_fence fence;
    const core::wall_time expiry = start + 5s;
    const double refuse_ns =
        nanoseconds_each(calls, [&](const auto& attempt) { execution::refuse(fence, attempt, expiry); });
    const std::size_t bytes_full = bytes_in_use() - bytes_before;
    std::size_t open = 0;
    const double check_ns = nanoseconds_each(calls, [&](const auto& attempt) {
        open += execution::check(fence, attempt, expiry) == execution::fence_state::open ? 1 : 0;
    });
    const std::size_t recorded = fence.attempts;
    const auto expire_begun = std::chrono::steady_clock::now();
    execution::expire(fence, start, skew);
    const std::chrono::duration<double, std::micro> expire_time =
        std::chrono::steady_clock::now() - expire_begun;
    execution::expire(fence, expiry + 2 * skew + 1ms, skew);
    const std::size_t bytes_after = bytes_in_use() - bytes_before;

    std::cout << "{";
    print("entries", static_cast<double>(origin_count));
    print("refused", static_cast<double>(calls * origin_count));
    print("kept", static_cast<double>(recorded));
    print("bytes", static_cast<double>(bytes_full));
    print("bytes_an_attempt", static_cast<double>(bytes_full) / static_cast<double>(recorded));
    print("refuse_ns", refuse_ns);
    print("check_ns", check_ns);
    print("expire_nothing_us", expire_time.count());
    print("bytes_after", static_cast<double>(bytes_after));
    print("open", static_cast<double>(open), "}\n");
    return 0;
}
