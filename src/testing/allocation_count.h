/// Counts the allocations of each thread of a test program. Include it in one source of the program: it
/// replaces the global operators new and delete.
#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

namespace monsoonlift::testing {

/// Allocations by operator new on this thread so far.
inline thread_local std::size_t allocations = 0;

} // namespace monsoonlift::testing

// NOLINTBEGIN(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory,misc-definitions-in-headers)
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
    ++monsoonlift::testing::allocations;
    return std::malloc(size);
}

void* operator new(std::size_t size) {
    if (void* memory = operator new(size, std::nothrow)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}

void operator delete(void* memory, const std::nothrow_t& /*tag*/) noexcept {
    std::free(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory,misc-definitions-in-headers)
