#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace carobfall {

/// Thread pool with a bounded queue. The destructor runs the queued work and joins the threads.
class work_pool {
public:
    work_pool(std::size_t threads, std::size_t max_queue);
    ~work_pool();
    work_pool(const work_pool&) = delete;
    work_pool& operator=(const work_pool&) = delete;

    /// False if the queue is full; the work is dropped then.
    bool post(std::function<void()> work);

    /// Number of queued and running calls.
    [[nodiscard]] std::size_t pending() const { return pending_; }

    /// Calls `work(0)` to `work(count - 1)`, on the calling thread and on free threads of the
    /// pool, and returns when all calls have returned. Doesn't wait for busy threads to become
    /// free.
    void for_each(std::size_t count, const std::function<void(std::size_t)>& work);

private:
    void run();

    const std::size_t max_queue_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> queue_;
    bool stopping_{false};
    std::atomic<std::size_t> pending_{0};
    std::vector<std::thread> threads_;
};

} // namespace carobfall
