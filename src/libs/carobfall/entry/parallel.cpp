#include "carobfall/entry/parallel.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace carobfall {

void run_in_threads(const std::vector<std::function<void()>>& calls)
{
    run_in_threads(calls, calls.size());
}

void run_in_threads(const std::vector<std::function<void()>>& calls, std::size_t threads)
{
    if (calls.size() == 1) {
        calls.front()();
        return;
    }
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < calls.size(); i = next++) {
            calls[i]();
        }
    };
    std::vector<std::thread> pool;
    for (std::size_t i = 0; i < std::min(threads, calls.size()); ++i) {
        pool.emplace_back(work);
    }
    for (std::thread& thread : pool) {
        thread.join();
    }
}

} // namespace carobfall
