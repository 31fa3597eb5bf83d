#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace carobfall::stateful {

/// Scheduling state of one simulated process.
struct process_control {
    std::atomic<bool> is_dead{false};   ///< its threads no longer park and have no outside effect
    bool is_paused{false};              ///< its threads are not resumed
    std::size_t parked_pool_threads{0}; ///< threads of the process's own pools that are parked
    /// Threads of its own pools that have work; each of them reaches a yield point.
    std::function<std::size_t()> busy_pool_threads{[] { return std::size_t{0}; }};
};

/// Cooperative scheduler that runs at most one thread at a time, so that a sequence of commands
/// determines the schedule. The controlling thread is the one that created the scheduler. All other
/// threads park at yield points until they are resumed.
///
/// If one call gives work to several pool threads, the order in which they park for the first time
/// is not deterministic. No check depends on it.
class cooperative_scheduler {
public:
    cooperative_scheduler() : controller_(std::this_thread::get_id()) {}
    ~cooperative_scheduler();
    cooperative_scheduler(const cooperative_scheduler&) = delete;
    cooperative_scheduler& operator=(const cooperative_scheduler&) = delete;

    /// The processes have to outlive the scheduler.
    void add(process_control& process);
    /// Yield point in code of `process`. Returns at once on the controlling thread.
    void yield(process_control& process);
    /// Runs `work` on a new thread, as a request handled by `home`.
    void spawn(process_control& home, std::function<void()> work);

    [[nodiscard]] std::size_t parked();
    /// Resumes the parked thread with this number until it has passed `credit` yield points, unless
    /// its process is paused.
    void resume(std::size_t number, int yield_points);
    /// Resumes every parked thread once, in the order of their first parking.
    void resume_all(int yield_points);
    /// Waits until every thread is parked or idle. Returns false after a second.
    bool settle();
    /// Number of times that `settle` has timed out.
    [[nodiscard]] std::size_t settle_timeouts() const { return settle_timeouts_; }
    /// Marks the process as dead and lets its threads run to their end.
    void release(process_control& process);
    /// Waits for all spawned threads; their processes must be dead.
    void join();

private:
    struct thread_state {
        process_control* home{nullptr};
        process_control* at{nullptr}; ///< process whose code the thread executes
        bool is_client{false};
        int yield_points{0};
        bool is_parked{false};
        std::size_t creation_number{0};
    };

    static thread_state& own_state();
    [[nodiscard]] bool is_settled() const;
    void resume_thread(thread_state* chosen, int yield_points);

    const std::thread::id controller_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<process_control*> processes_;
    std::vector<thread_state*> parked_;
    std::vector<std::thread> clients_;
    std::size_t running_clients_{0};
    std::size_t next_order_{0};
    std::size_t settle_timeouts_{0};
};

} // namespace carobfall::stateful
