#include "cooperative_scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carobfall::stateful {
namespace {

/// Limits the wait for a thread that doesn't reach a yield point because of a defect.
constexpr std::chrono::seconds settle_timeout{1};
/// Polling interval of `settle`: a pool thread that becomes idle doesn't notify the scheduler.
constexpr std::chrono::microseconds settle_check_interval{5};

} // namespace

cooperative_scheduler::~cooperative_scheduler()
{
    join();
}

cooperative_scheduler::thread_state& cooperative_scheduler::own_state()
{
    thread_local thread_state own;
    return own;
}

void cooperative_scheduler::add(process_control& process)
{
    const std::lock_guard lock(mutex_);
    processes_.push_back(&process);
}

void cooperative_scheduler::yield(process_control& process)
{
    if (std::this_thread::get_id() == controller_) {
        return;
    }
    thread_state& own = own_state();
    std::unique_lock lock(mutex_);
    if (own.origin_process == nullptr) {
        own.origin_process = &process;
        own.creation_number = next_order_++;
    }
    // A client thread continues at the receiver of a forwarded request if the sender has died.
    const bool may_continue =
        own.is_client ? process.is_dead.load() : own.origin_process->is_dead.load();
    if (may_continue || own.yield_points > 0) {
        own.yield_points -= own.yield_points > 0 ? 1 : 0;
        return;
    }
    own.at = &process;
    own.is_parked = true;
    parked_.push_back(&own);
    std::sort(parked_.begin(), parked_.end(),
              [](const thread_state* left, const thread_state* right) {
                  return left->creation_number < right->creation_number;
              });
    own.origin_process->parked_pool_threads += own.is_client ? 0 : 1;
    running_clients_ -= own.is_client ? 1 : 0;
    changed_.notify_all();
    changed_.wait(lock, [&] { return !own.is_parked; });
}

void cooperative_scheduler::spawn(process_control& origin_process, std::function<void()> work)
{
    {
        const std::lock_guard lock(mutex_);
        ++running_clients_;
        const std::size_t order = next_order_++;
        clients_.emplace_back([this, &origin_process, order, work = std::move(work)] {
            thread_state& own = own_state();
            own.origin_process = &origin_process;
            own.is_client = true;
            own.creation_number = order;
            work();
            const std::lock_guard inner(mutex_);
            --running_clients_;
            changed_.notify_all();
        });
    }
    settle();
}

std::size_t cooperative_scheduler::parked_count()
{
    const std::lock_guard lock(mutex_);
    return parked_.size();
}

void cooperative_scheduler::resume(std::size_t number, int yield_points)
{
    {
        const std::lock_guard lock(mutex_);
        if (number >= parked_.size()) {
            return;
        }
        resume_thread(parked_[number], yield_points);
    }
    settle();
}

void cooperative_scheduler::resume_all(int yield_points)
{
    std::vector<thread_state*> present;
    {
        const std::lock_guard lock(mutex_);
        present = parked_;
    }
    for (thread_state* chosen : present) {
        {
            const std::lock_guard lock(mutex_);
            if (std::find(parked_.begin(), parked_.end(), chosen) != parked_.end()) {
                resume_thread(chosen, yield_points);
            }
        }
        settle();
    }
}

void cooperative_scheduler::resume_thread(thread_state* chosen, int yield_points)
{
    const auto is_held = [](const process_control& control) {
        return control.is_paused && !control.is_dead;
    };
    if (is_held(*chosen->origin_process) || is_held(*chosen->at)) {
        return;
    }
    std::erase(parked_, chosen);
    chosen->origin_process->parked_pool_threads -= chosen->is_client ? 0 : 1;
    running_clients_ += chosen->is_client ? 1 : 0;
    chosen->yield_points = yield_points - 1;
    chosen->is_parked = false;
    changed_.notify_all();
}

bool cooperative_scheduler::settle()
{
    const auto end = std::chrono::steady_clock::now() + settle_timeout;
    std::unique_lock lock(mutex_);
    while (!is_settled()) {
        if (std::chrono::steady_clock::now() >= end) {
            ++settle_timeouts_;
            return false;
        }
        changed_.wait_for(lock, settle_check_interval);
    }
    return true;
}

bool cooperative_scheduler::is_settled() const
{
    return running_clients_ == 0 &&
           std::all_of(processes_.begin(), processes_.end(), [](const process_control* process) {
               return process->is_dead
                          ? process->busy_pool_threads() == 0
                          : process->parked_pool_threads >= process->busy_pool_threads();
           });
}

void cooperative_scheduler::release(process_control& process)
{
    {
        const std::lock_guard lock(mutex_);
        process.is_dead = true;
        const std::vector<thread_state*> present = parked_;
        for (thread_state* held : present) {
            if (held->is_client ? held->at == &process : held->origin_process == &process) {
                resume_thread(held, 1);
            }
        }
    }
    settle();
}

void cooperative_scheduler::join()
{
    for (std::thread& client : clients_) {
        client.join();
    }
    clients_.clear();
}

} // namespace carobfall::stateful
