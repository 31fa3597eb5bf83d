#pragma once

#include <functional>
#include <vector>

namespace carobfall {

/// Runs all calls and returns when all have returned. Tests run them sequentially.
using parallel_runner = std::function<void(const std::vector<std::function<void()>>& calls)>;

/// Runs each call in its own thread; meant for calls to the few entries of a region.
void run_in_threads(const std::vector<std::function<void()>>& calls);

/// Runs the calls on at most `threads` threads; meant for calls to all agents of a region.
void run_in_threads(const std::vector<std::function<void()>>& calls, std::size_t threads);

} // namespace carobfall
