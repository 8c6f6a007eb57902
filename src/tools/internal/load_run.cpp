#include "tools/load_run.h"

#include "tools/internal/load_worker.h"

#include <memory>
#include <mutex>
#include <thread>

namespace monsoonlift::tools {

std::vector<class_result> run_load(const scenario& run, const call_observer& observer) {
    constexpr auto lead_time = std::chrono::milliseconds(50);
    const auto start = std::chrono::steady_clock::now() + lead_time;
    std::mutex mutex;
    const auto observe = [&](const call_report& call) {
        if (observer) {
            const std::lock_guard lock(mutex);
            observer(call);
        }
    };
    std::vector<std::unique_ptr<internal::load_worker>> workers;
    for (std::size_t i = 0; i < run.threads; ++i) {
        workers.push_back(std::make_unique<internal::load_worker>(run, i, start, observe));
    }
    std::vector<std::thread> threads;
    for (auto& worker : workers) {
        threads.emplace_back([&worker] { worker->run(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::vector<class_result> results(run.classes.size());
    for (const auto& worker : workers) {
        for (std::size_t i = 0; i < results.size(); ++i) {
            merge(results[i], worker->results()[i]);
        }
    }
    return results;
}

} // namespace monsoonlift::tools
