#include "carobfall/base/work_pool.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace carobfall {
namespace {

// State of one `for_each`. A thread that starts after all indexes are taken doesn't access `work`,
// which may have been destroyed by then.
struct shared_loop {
    const std::function<void(std::size_t)>* work{nullptr};
    std::size_t count{0};
    std::mutex mutex;
    std::condition_variable finished;
    std::size_t next{0};
    std::size_t done{0};

    void run_iterations()
    {
        std::unique_lock lock(mutex);
        while (next < count) {
            const std::size_t index = next++;
            lock.unlock();
            (*work)(index);
            lock.lock();
            ++done;
        }
        if (done == count) {
            finished.notify_all();
        }
    }
};

} // namespace

work_pool::work_pool(std::size_t threads, std::size_t max_queue) : max_queue_(max_queue)
{
    threads_.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

work_pool::~work_pool()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_) {
        thread.join();
    }
}

bool work_pool::post(std::function<void()> work)
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || queue_.size() >= max_queue_) {
            return false;
        }
        queue_.push_back(std::move(work));
        ++pending_;
    }
    changed_.notify_one();
    return true;
}

void work_pool::for_each(std::size_t count, const std::function<void(std::size_t)>& work)
{
    if (count == 0) {
        return;
    }
    const auto loop = std::make_shared<shared_loop>();
    loop->work = &work;
    loop->count = count;
    const std::size_t extra_threads = std::min(count - 1, threads_.size());
    for (std::size_t i = 0; i < extra_threads && post([loop] { loop->run_iterations(); }); ++i) {
    }
    loop->run_iterations();
    std::unique_lock lock(loop->mutex);
    loop->finished.wait(lock, [&] { return loop->done == loop->count; });
}

void work_pool::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
        if (queue_.empty()) {
            return;
        }
        const std::function<void()> work = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        work();
        --pending_;
        lock.lock();
    }
}

} // namespace carobfall
