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

/// Something kept for each call class, such as its counters, found by rank without a lock. What was made for
/// a class stays for the life of the table, so that totals survive a change of the classes.
template <class T> class class_table {
public:
    using maker = std::function<std::unique_ptr<T>(const std::string& class_name)>;

    /// Names told apart in the life of the table; calls of later ones count as unknown.
    static constexpr std::size_t most_names = 64;

    /// Name of the class of calls whose class can't be told.
    static constexpr std::string_view unknown_name = "unknown";

    explicit class_table(maker make) : m_make(std::move(make)), m_unknown(m_make(std::string(unknown_name))) {
        point(0);
    }

    /// The classes in the operators' order. Readers may go on meanwhile; another call of this function may
    /// not.
    void set_names(const std::vector<std::string>& names) {
        const std::size_t count = std::min(names.size(), m_by_rank.size());
        for (std::size_t rank = 0; rank < count; ++rank) {
            m_by_rank[rank].store(&find_or_make(names[rank]), std::memory_order_release);
        }
        point(count);
    }

    /// That of the class with this rank.
    [[nodiscard]] T& of(core::class_rank rank) const {
        return *m_by_rank[rank].load(std::memory_order_acquire);
    }

    /// That of calls whose class can't be told.
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

    /// Makes the ranks from `first` on unknown.
    void point(std::size_t first) {
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
