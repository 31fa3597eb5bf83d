#include "turn_scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carobfall::stateful {
namespace {

/// Limits the wait for a thread that doesn't reach a yield point because of a defect.
constexpr std::chrono::seconds settle_timeout{1};
/// Interval of checks whether all threads are parked: a pool thread that becomes idle doesn't
/// notify.
constexpr std::chrono::microseconds settle_poll{5};

} // namespace

turn_scheduler::~turn_scheduler()
{
    join();
}

turn_scheduler::turn& turn_scheduler::own_turn()
{
    thread_local turn own;
    return own;
}

void turn_scheduler::add(process_gate& process)
{
    const std::lock_guard lock(mutex_);
    processes_.push_back(&process);
}

void turn_scheduler::pass(process_gate& process)
{
    if (std::this_thread::get_id() == controller_) {
        return;
    }
    turn& own = own_turn();
    std::unique_lock lock(mutex_);
    if (own.home == nullptr) {
        own.home = &process;
        own.order = next_order_++;
    }
    // A request continues at its receiver if the process that forwarded it has died.
    const bool free = own.client ? process.dead.load() : own.home->dead.load();
    if (free || own.credit > 0) {
        own.credit -= own.credit > 0 ? 1 : 0;
        return;
    }
    own.at = &process;
    own.waiting = true;
    parked_.push_back(&own);
    std::sort(parked_.begin(), parked_.end(),
              [](const turn* left, const turn* right) { return left->order < right->order; });
    own.home->parked_workers += own.client ? 0 : 1;
    running_clients_ -= own.client ? 1 : 0;
    changed_.notify_all();
    changed_.wait(lock, [&] { return !own.waiting; });
}

void turn_scheduler::spawn(process_gate& home, std::function<void()> work)
{
    {
        const std::lock_guard lock(mutex_);
        ++running_clients_;
        const std::size_t order = next_order_++;
        clients_.emplace_back([this, &home, order, work = std::move(work)] {
            turn& own = own_turn();
            own.home = &home;
            own.client = true;
            own.order = order;
            work();
            const std::lock_guard inner(mutex_);
            --running_clients_;
            changed_.notify_all();
        });
    }
    settle();
}

std::size_t turn_scheduler::parked()
{
    const std::lock_guard lock(mutex_);
    return parked_.size();
}

void turn_scheduler::resume(std::size_t number, int credit)
{
    {
        const std::lock_guard lock(mutex_);
        if (number >= parked_.size()) {
            return;
        }
        resume_turn(parked_[number], credit);
    }
    settle();
}

void turn_scheduler::resume_all(int credit)
{
    std::vector<turn*> present;
    {
        const std::lock_guard lock(mutex_);
        present = parked_;
    }
    for (turn* chosen : present) {
        {
            const std::lock_guard lock(mutex_);
            if (std::find(parked_.begin(), parked_.end(), chosen) != parked_.end()) {
                resume_turn(chosen, credit);
            }
        }
        settle();
    }
}

void turn_scheduler::resume_turn(turn* chosen, int credit)
{
    const auto is_held = [](const process_gate& gate) { return gate.paused && !gate.dead; };
    if (is_held(*chosen->home) || is_held(*chosen->at)) {
        return;
    }
    std::erase(parked_, chosen);
    chosen->home->parked_workers -= chosen->client ? 0 : 1;
    running_clients_ += chosen->client ? 1 : 0;
    chosen->credit = credit - 1;
    chosen->waiting = false;
    changed_.notify_all();
}

bool turn_scheduler::settle()
{
    const auto end = std::chrono::steady_clock::now() + settle_timeout;
    std::unique_lock lock(mutex_);
    while (!is_settled()) {
        if (std::chrono::steady_clock::now() >= end) {
            ++unsettled_;
            return false;
        }
        changed_.wait_for(lock, settle_poll);
    }
    return true;
}

bool turn_scheduler::is_settled() const
{
    return running_clients_ == 0 &&
           std::all_of(processes_.begin(), processes_.end(), [](const process_gate* process) {
               return process->dead ? process->busy_workers() == 0
                                    : process->parked_workers >= process->busy_workers();
           });
}

void turn_scheduler::release(process_gate& process)
{
    {
        const std::lock_guard lock(mutex_);
        process.dead = true;
        const std::vector<turn*> present = parked_;
        for (turn* held : present) {
            if (held->client ? held->at == &process : held->home == &process) {
                resume_turn(held, 1);
            }
        }
    }
    settle();
}

void turn_scheduler::join()
{
    for (std::thread& client : clients_) {
        client.join();
    }
    clients_.clear();
}

} // namespace carobfall::stateful
