#include "oracle.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace carobfall::stateful {

std::string payload_of(const submission_key& key, const std::string& body, std::uint32_t index)
{
    return nlohmann::json{{"id", key.submission_id}, {"body", body}, {"index", index}}.dump();
}

bool must_fail(const task_key& task)
{
    const char last = task.submission.submission_id.back();
    return task.index == 1 && (last == '4' || last == '9');
}

void oracle::report(const std::string& problem)
{
    if (violation_.empty()) {
        violation_ = problem;
    }
}

void oracle::on_start(const task_key& task, const std::string& payload, const start_place& place,
                      absl::Time now)
{
    const std::lock_guard lock(mutex_);
    const std::string name = absl::StrCat(to_string(task.submission), "#", task.index);
    if (!may_start_again(task)) {
        report(absl::StrCat("started twice: ", name));
    }
    starts_[task].push_back(place.agent_incarnation);
    if (now > place.leaving_since + leave_grace) {
        report(absl::StrCat("started on an agent or backend server that left ",
                            absl::FormatDuration(now - place.leaving_since), " ago: ", name));
    }
    const std::string body = nlohmann::json::parse(payload).at("body");
    if (payload != payload_of(task.submission, body, task.index)) {
        report(absl::StrCat("wrong payload for ", name, ": ", payload));
    }
    if (body_started_.try_emplace(task.submission, body).first->second != body) {
        report(absl::StrCat("two bodies of one submission were started: ", name));
    }
    const auto reported = reported_not_run_.find(task);
    // Only a request that was in progress at that time or was sent later may still start the task.
    if (reported != reported_not_run_.end() && calls_for(task.submission) == reported->second) {
        report(absl::StrCat("started after not_run: ", name));
    }
    check_data_centre(place.data_centre, now);
}

/// True for the first start, and if the template allows reruns and the agents of all earlier starts
/// have ended.
bool oracle::may_start_again(const task_key& task) const
{
    const auto found = starts_.find(task);
    return found == starts_.end() ||
           (rerunnable_.contains(task.submission) &&
            std::all_of(found->second.begin(), found->second.end(),
                        [&](const auto& agent) { return ended_agents_.contains(agent); }));
}

void oracle::on_agent_end(const std::string& incarnation)
{
    const std::lock_guard lock(mutex_);
    ended_agents_.insert(incarnation);
}

void oracle::on_graceful_end(const std::string& name, std::size_t unfinished)
{
    const std::lock_guard lock(mutex_);
    if (unfinished > 0) {
        report(absl::StrCat("the shutdown of ", name, " interrupted ", unfinished,
                            " tasks or calls in progress"));
    }
}

void oracle::check_data_centre(const std::string& data_centre, absl::Time now)
{
    const change* last = nullptr;
    for (const auto& [version, made] : changes_) {
        last = made.data_centre == data_centre ? &made : last;
    }
    if (last != nullptr && last->out && now > last->accepted_at + data_centre_out_grace) {
        report(absl::StrCat("started in ", data_centre, " ",
                            absl::FormatDuration(now - last->accepted_at),
                            " after it was taken out"));
    }
}

std::size_t oracle::on_submit(const rpc::submission_request& request)
{
    const std::lock_guard lock(mutex_);
    const submission_key key = from_message(request.key());
    const auto started = body_started_.find(key);
    if (request.template_name() == rerun_template) {
        rerunnable_.insert(key);
    }
    calls_.push_back({request, false,
                      started != body_started_.end() &&
                          request.tasks(0) != payload_of(key, started->second, 0)});
    return calls_.size() - 1;
}

void oracle::on_lost(std::size_t call)
{
    const std::lock_guard lock(mutex_);
    (void)call; // the call remains unanswered: a lost request may still take effect
}

void oracle::on_answer(std::size_t call, const result<rpc::submission_answer>& answer)
{
    const std::lock_guard lock(mutex_);
    submit_call& made = calls_[call];
    if (answer) {
        made.is_answered = true;
        // If both holders of the claim are lost, only agent records remain, and they don't identify
        // the body.
        if (made.has_other_body &&
            (answer.value().state() != rpc::submission_failed ||
             answer.value().error_kind() != name_of(error_kind::task_lost))) {
            report(absl::StrCat("a request with another body was not refused: ",
                                to_string(from_message(made.request.key()))));
        }
        check_answer(made.request, answer.value());
    } else if (answer.error().kind != error_kind::outcome_unknown) {
        made.is_answered = true;
    }
}

void oracle::on_status(const rpc::submission_request& request, const rpc::submission_answer& answer)
{
    const std::lock_guard lock(mutex_);
    const submission_key key = from_message(request.key());
    const auto started = body_started_.find(key);
    // A status request doesn't identify a body. The answer is for the body that was accepted.
    rpc::submission_request accepted = request;
    for (int i = 0; i < accepted.tasks_size() && started != body_started_.end(); ++i) {
        accepted.set_tasks(i, payload_of(key, started->second, static_cast<std::uint32_t>(i)));
    }
    check_answer(accepted, answer);
}

void oracle::check_answer(const rpc::submission_request& request,
                          const rpc::submission_answer& answer)
{
    if (from_message(answer.key()) != from_message(request.key())) {
        report("an answer belongs to another request");
        return;
    }
    if (answer.state() == rpc::submission_complete) {
        check_complete(request, answer);
    } else if (answer.state() == rpc::submission_failed) {
        check_failed(request, answer);
    } else if (answer.state() != rpc::submission_running) {
        report("an answer has no valid state");
    }
}

void oracle::check_complete(const rpc::submission_request& request,
                            const rpc::submission_answer& answer)
{
    const submission_key key = from_message(request.key());
    ++complete_answers_;
    if (answer.tasks_size() != request.tasks_size()) {
        report(absl::StrCat("a complete answer lacks results: ", to_string(key)));
        return;
    }
    for (int i = 0; i < answer.tasks_size(); ++i) {
        const rpc::task_answer& task = answer.tasks(i);
        if (task.index() != static_cast<std::uint32_t>(i) || !task.result().success() ||
            task.outcome() != rpc::outcome_ran || task.result().body() != request.tasks(i) ||
            starts_locked({key, task.index()}) == 0) {
            report(absl::StrCat("wrong result in a complete answer: ", to_string(key), "#", i, " ",
                                task.ShortDebugString(), " for ", request.tasks(i)));
        }
    }
}

void oracle::check_failed(const rpc::submission_request& request,
                          const rpc::submission_answer& answer)
{
    const submission_key key = from_message(request.key());
    if (answer.tasks_size() != request.tasks_size() || answer.error_kind().empty()) {
        report(absl::StrCat("a failed answer lacks outcomes or a reason: ", to_string(key)));
    }
    for (int i = 0; i < answer.tasks_size(); ++i) {
        const rpc::task_answer& task = answer.tasks(i);
        const task_key name{key, task.index()};
        if (task.index() != static_cast<std::uint32_t>(i)) {
            report(absl::StrCat("outcomes out of order: ", to_string(key)));
        }
        if (task.outcome() == rpc::outcome_ran && starts_locked(name) == 0) {
            report(absl::StrCat("reported as run without a start: ", to_string(key), "#", i));
        }
        if (task.outcome() != rpc::outcome_not_run) {
            continue;
        }
        if (starts_locked(name) > 0) {
            report(absl::StrCat("reported as not_run after a start: ", to_string(key), "#", i));
        }
        if (!has_open_call(key)) {
            reported_not_run_[name] = calls_for(key);
        }
    }
}

bool oracle::has_open_call(const submission_key& key) const
{
    return std::any_of(calls_.begin(), calls_.end(), [&](const submit_call& call) {
        return !call.is_answered && from_message(call.request.key()) == key;
    });
}

std::size_t oracle::calls_for(const submission_key& key) const
{
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), [&](const submit_call& call) {
            return from_message(call.request.key()) == key;
        }));
}

void oracle::on_committed(std::uint64_t version, const std::string& data_centre, bool out)
{
    const std::lock_guard lock(mutex_);
    changes_.try_emplace(version, change{data_centre, out});
}

void oracle::on_accepted(std::uint64_t version, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    accepted_version_ = std::max(accepted_version_, version);
    const auto made = changes_.find(version);
    if (made != changes_.end()) {
        made->second.accepted_at = std::min(made->second.accepted_at, now);
    }
}

void oracle::on_version(const std::string& incarnation, std::uint64_t version)
{
    const std::lock_guard lock(mutex_);
    std::uint64_t& held = versions_[incarnation];
    if (version < held) {
        report(absl::StrCat("the configuration of ", incarnation, " went from version ", held,
                            " to ", version));
    }
    held = version;
}

std::string oracle::violation() const
{
    const std::lock_guard lock(mutex_);
    return violation_;
}

int oracle::starts_locked(const task_key& task) const
{
    const auto found = starts_.find(task);
    return found == starts_.end() ? 0 : static_cast<int>(found->second.size());
}

int oracle::starts(const submission_key& key, std::uint32_t index) const
{
    const std::lock_guard lock(mutex_);
    return starts_locked({key, index});
}

std::size_t oracle::total_starts() const
{
    const std::lock_guard lock(mutex_);
    std::size_t total = 0;
    for (const auto& [task, agents] : starts_) {
        total += agents.size();
    }
    return total;
}

std::size_t oracle::complete_answers() const
{
    const std::lock_guard lock(mutex_);
    return complete_answers_;
}

std::uint64_t oracle::accepted_version() const
{
    const std::lock_guard lock(mutex_);
    return accepted_version_;
}

} // namespace carobfall::stateful
