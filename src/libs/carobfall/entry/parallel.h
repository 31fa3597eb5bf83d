#pragma once

#include <functional>
#include <vector>

namespace carobfall {

/// Runs all calls and returns when every one has returned. Tests run them one after the other.
using parallel_runner = std::function<void(const std::vector<std::function<void()>>& calls)>;

/// Runs every call in a thread of its own; meant for calls to the few entries of a region.
void run_in_threads(const std::vector<std::function<void()>>& calls);

/// Runs the calls in at most `threads` threads; meant for calls to all agents of a region.
void run_in_threads(const std::vector<std::function<void()>>& calls, std::size_t threads);

} // namespace carobfall
