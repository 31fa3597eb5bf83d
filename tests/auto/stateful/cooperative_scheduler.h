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
    /// Killed: its threads run to their end without parking or outside effect.
    std::atomic<bool> is_dead{false};
    bool is_paused{false};              ///< as after SIGSTOP: its threads are not resumed
    std::size_t parked_pool_threads{0}; ///< parked threads of the process's own thread pools
    /// Returns the number of threads in the process's own thread pools that have work. Each of them
    /// reaches a yield point.
    std::function<std::size_t()> busy_pool_threads{[] { return std::size_t{0}; }};
};

/// Cooperative scheduler that runs at most one thread at a time, so that a sequence of commands
/// determines the schedule. The simulated code calls `yield` at its yield points. A thread is
/// parked while it waits in `yield` until it is resumed. The thread that created the scheduler
/// controls the others and never parks.
///
/// If one call gives work to several pool threads, the order in which they park for the first time
/// is not deterministic. No check depends on this order.
class cooperative_scheduler {
public:
    cooperative_scheduler() : controller_(std::this_thread::get_id()) {}
    ~cooperative_scheduler();
    cooperative_scheduler(const cooperative_scheduler&) = delete;
    cooperative_scheduler& operator=(const cooperative_scheduler&) = delete;

    /// The processes have to outlive the scheduler.
    void add(process_control& process);
    /// Yield point in code of `process`: parks the calling thread, unless it is the controlling
    /// thread, may pass more yield points, or belongs to a dead process.
    void yield(process_control& process);
    /// Runs `work` on a new client thread: a client's request that `origin_process` handles.
    void spawn(process_control& origin_process, std::function<void()> work);

    /// Number of parked threads.
    [[nodiscard]] std::size_t parked_count();
    /// Resumes the parked thread with this number. It parks again after it has passed the given
    /// number of yield points. Does nothing if its process is paused.
    void resume(std::size_t number, int yield_points);
    /// Resumes every parked thread once, in the order of `thread_state::creation_number`.
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
        process_control* origin_process{nullptr}; ///< process that the thread belongs to
        process_control* at{nullptr};             ///< process whose code the thread executes
        bool is_client{false};                    ///< created by `spawn`; otherwise a pool thread
        int yield_points{0}; ///< number that the thread passes before it parks again
        bool is_parked{false};
        /// Position in the order of `spawn` and of the first yield of pool threads.
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
