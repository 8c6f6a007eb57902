#pragma once

#include "core/types/call_context.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonlift::metrics {

/// Holds one object for each call class, such as its counters, looked up by rank without a lock. The object
/// of a class exists as long as the table, so totals survive a change of the classes.
template <class T> class class_table {
public:
    using maker = std::function<std::unique_ptr<T>(const std::string& class_name)>;

    /// Maximum number of distinct class names in the lifetime of the table; calls of further classes count as
    /// unknown.
    static constexpr std::size_t most_names = 64;

    /// Class name of calls whose class can't be determined.
    static constexpr std::string_view unknown_name = "unknown";

    explicit class_table(maker make) : m_make(std::move(make)), m_unknown(m_make(std::string(unknown_name))) {
        assign_unknown(0);
    }

    /// Sets the class names in the operators' order, the first for rank 0. Other threads may read the table
    /// meanwhile, but calls of set_names() must not overlap.
    void set_names(const std::vector<std::string>& names) {
        const std::size_t count = std::min(names.size(), m_by_rank.size());
        for (std::size_t rank = 0; rank < count; ++rank) {
            m_by_rank[rank].store(&find_or_make(names[rank]), std::memory_order_release);
        }
        assign_unknown(count);
    }

    /// Returns the object of the class with this rank; unknown() if no class has it.
    [[nodiscard]] T& of(core::class_rank rank) const {
        return *m_by_rank[rank].load(std::memory_order_acquire);
    }

    /// Returns the object for calls whose class can't be determined.
    [[nodiscard]] T& unknown() const { return *m_unknown; }

private:
    static constexpr std::size_t ranks = std::size_t{std::numeric_limits<core::class_rank>::max()} + 1;

    T& find_or_make(const std::string& name) {
        const auto found = m_known.find(name);
        if (found != m_known.end()) {
            return *found->second;
        }
        if (name == unknown_name || m_known.size() >= most_names) {
            return *m_unknown;
        }
        return *m_known.emplace(name, m_make(name)).first->second;
    }

    /// Assigns unknown() to all ranks from `first` on.
    void assign_unknown(std::size_t first) {
        for (std::size_t rank = first; rank < m_by_rank.size(); ++rank) {
            m_by_rank[rank].store(m_unknown.get(), std::memory_order_release);
        }
    }

    maker m_make;
    std::unique_ptr<T> m_unknown;
    std::map<std::string, std::unique_ptr<T>> m_known;
    std::array<std::atomic<T*>, ranks> m_by_rank{};
};

} // namespace monsoonlift::metrics
