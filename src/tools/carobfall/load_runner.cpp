#include "load_runner.h"

#include "carobfall/base/clock.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

namespace carobfall::tool {
namespace {

// Time for the senders to start before the first intended send time.
constexpr absl::Duration start_delay = absl::Milliseconds(200);

} // namespace

load_runner::load_runner(const load_workload& workload, std::string id_prefix, std::size_t threads,
                         load_sender_factory make_sender)
    : workload_(workload),
      id_prefix_(std::move(id_prefix)),
      threads_(threads),
      make_sender_(std::move(make_sender))
{}

load_request load_runner::request_of(const planned_submission& planned, std::size_t number,
                                     absl::Time start) const
{
    const load_class& class_settings = workload_.classes[planned.class_index];
    const absl::Time deadline = start + planned.at + class_settings.deadline;
    nlohmann::json body{{"template", class_settings.template_name},
                        {"parameters", class_settings.parameters},
                        {"tasks", nlohmann::json::array()},
                        {"deadline_unix_ms", to_unix_ms(deadline)}};
    for (const std::uint32_t run_ms : planned.run_ms) {
        body["tasks"].push_back({{"run_ms", run_ms}});
    }
    return {id_prefix_ + std::to_string(number), body.dump(), deadline};
}

load_statistics load_runner::run(const std::vector<planned_submission>& plan) const
{
    absl::Mutex mutex;
    load_statistics statistics;
    std::atomic<std::size_t> next{0};
    const absl::Time start = absl::Now() + start_delay;
    // Each thread takes the next submission in order and sleeps until its time, so that a
    // submission is late only when all threads are waiting for answers.
    const auto send = [&](std::size_t thread) {
        const load_sender sender = make_sender_(thread);
        for (std::size_t number = next++; number < plan.size(); number = next++) {
            const planned_submission& planned = plan[number];
            const load_request request = request_of(planned, number, start);
            absl::SleepFor(start + planned.at - absl::Now());
            load_sample sample{.intended = planned.at,
                               .sent = absl::Now() - start,
                               .answered = absl::ZeroDuration(),
                               .ideal = ideal_response(workload_, planned),
                               .outcome = {},
                               .tasks = static_cast<std::uint32_t>(planned.run_ms.size()),
                               .ran_by_agent = {}};
            load_answer answer = sender(request);
            sample.answered = absl::Now() - start;
            sample.outcome = std::move(answer.outcome);
            sample.ran_by_agent = std::move(answer.ran_by_agent);
            const absl::MutexLock lock(&mutex);
            statistics.add(sample);
        }
    };
    std::vector<std::thread> senders;
    for (std::size_t thread = 0; thread < std::min(threads_, plan.size()); ++thread) {
        senders.emplace_back(send, thread);
    }
    for (std::thread& sender : senders) {
        sender.join();
    }
    return statistics;
}

} // namespace carobfall::tool
