#include "carobfall/entry/periodic_task.h"

namespace carobfall {

periodic_task::periodic_task(absl::Duration interval, clock_function clock,
                             std::function<void(absl::Time)> task)
    : interval_(interval),
      clock_(std::move(clock)),
      task_(std::move(task)),
      thread_([this] { run(); })
{}

periodic_task::~periodic_task()
{
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    thread_.join();
}

void periodic_task::run()
{
    for (;;) {
        task_(clock_());
        const absl::MutexLock lock(&mutex_);
        if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), interval_)) {
            return;
        }
    }
}

} // namespace carobfall
