#include "fakes.h"

#include "../support/wait.h"
#include "carobfall/entry/rendezvous.h"

namespace carobfall::testing {
namespace {

template <typename Reply>
result<Reply> lost()
{
    return failure(error_kind::outcome_unknown, "the answer was lost", "ask");
}

template <typename Reply>
result<Reply> unreachable()
{
    return failure(error_kind::unavailable, "no connection", "wait");
}

void finish_record(rpc::task_status& record, bool succeeds)
{
    record.set_state(rpc::task_state_finished);
    record.mutable_result()->set_success(succeeds);
    record.mutable_result()->set_backend_status(succeeds ? 200 : 500);
    record.mutable_result()->set_run_ms(50);
    record.mutable_result()->set_body(absl::StrCat("r", record.index()));
}

} // namespace

result<rpc::start_reply> fake_agent::start(const rpc::start_request& request,
                                           absl::Duration /*timeout*/)
{
    const submission_key key = from_message(request.submission());
    rpc::start_reply reply;
    std::vector<rpc::task_status> finished;
    agent_mode mode{};
    {
        const std::lock_guard lock(mutex_);
        mode = mode_;
        last_view_ = request.view_number();
        if (mode == agent_mode::unreachable) {
            return unreachable<rpc::start_reply>();
        }
        if (mode == agent_mode::lose_start) {
            return lost<rpc::start_reply>();
        }
        for (const rpc::start_task& task : request.tasks()) {
            const rpc::task_status status = accept(key, task);
            *reply.add_tasks() = status;
            if (ledger_[{key, task.index()}].state() == rpc::task_state_finished) {
                finished.push_back(ledger_[{key, task.index()}]);
            }
        }
    }
    for (const rpc::task_status& status : finished) {
        report(key, status);
    }
    if (mode == agent_mode::lose_reply) {
        return lost<rpc::start_reply>();
    }
    reply.mutable_load()->set_queued(queued_in_reply);
    return reply;
}

rpc::task_status fake_agent::accept(const submission_key& key, const rpc::start_task& task)
{
    rpc::task_status& record = ledger_[{key, task.index()}];
    const bool known = record.state() != rpc::task_state_unknown;
    const bool may_replace =
        (record.state() == rpc::task_state_refused || record.state() == rpc::task_state_revoked) &&
        record.attempt() < task.attempt();
    rpc::task_status answer;
    answer.set_index(task.index());
    answer.set_attempt(task.attempt());
    if (known && !may_replace) {
        answer.set_state(rpc::task_state_refused);
        answer.set_reason(rpc::refusal_duplicate);
        return answer;
    }
    record.Clear();
    record.set_index(task.index());
    record.set_attempt(task.attempt());
    if (mode_ == agent_mode::refuse) {
        record.set_state(rpc::task_state_refused);
        record.set_reason(reason);
        return record;
    }
    if (mode_ == agent_mode::queue) {
        record.set_state(rpc::task_state_queued);
        return record;
    }
    ++starts_;
    record.set_state(rpc::task_state_started);
    answer = record;
    if (mode_ == agent_mode::run) {
        finish_record(record, task_succeeds);
    }
    return answer;
}

result<rpc::revoke_reply> fake_agent::revoke(const rpc::revoke_request& request,
                                             absl::Duration /*timeout*/)
{
    const std::lock_guard lock(mutex_);
    if (mode_ == agent_mode::unreachable) {
        return unreachable<rpc::revoke_reply>();
    }
    if (refuse_revokes) {
        return lost<rpc::revoke_reply>();
    }
    const submission_key key = from_message(request.submission());
    rpc::revoke_reply reply;
    for (const rpc::task_attempt& task : request.tasks()) {
        rpc::task_status& record = ledger_[{key, task.index()}];
        record.set_index(task.index());
        if (record.state() != rpc::task_state_started &&
            record.state() != rpc::task_state_finished) {
            record.set_attempt(std::max(record.attempt(), task.attempt()));
            record.set_state(rpc::task_state_revoked);
        }
        *reply.add_tasks() = record;
    }
    return reply;
}

result<rpc::fence_reply> fake_agent::fence(const rpc::fence_request& request,
                                           absl::Duration /*timeout*/)
{
    const std::lock_guard lock(mutex_);
    if (mode_ == agent_mode::unreachable) {
        return unreachable<rpc::fence_reply>();
    }
    rpc::fence_reply reply;
    reply.set_view_number(request.view().number());
    reply.set_incarnation(info.incarnation());
    return reply;
}

void fake_agent::finish(const submission_key& key, std::uint32_t index, bool with_report,
                        bool succeeds)
{
    rpc::task_status status;
    {
        const std::lock_guard lock(mutex_);
        rpc::task_status& record = ledger_[{key, index}];
        record.set_index(index);
        record.set_attempt(std::max(1U, record.attempt()));
        finish_record(record, succeeds);
        status = record;
    }
    if (with_report) {
        report(key, status);
    }
}

void fake_agent::report(const submission_key& key, const rpc::task_status& status)
{
    rpc::report_request request;
    *request.mutable_agent() = ref_of(info);
    rpc::task_report* report = request.add_reports();
    *report->mutable_submission() = to_message(key);
    *report->mutable_status() = status;
    registry_.on_report(request, monotonic_now());
}

void fake_agent::set_mode(agent_mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
}

rpc::task_status fake_agent::record(const submission_key& key, std::uint32_t index) const
{
    const std::lock_guard lock(mutex_);
    const auto found = ledger_.find({key, index});
    return found == ledger_.end() ? rpc::task_status{} : found->second;
}

int fake_agent::starts() const
{
    const std::lock_guard lock(mutex_);
    return starts_;
}

std::uint64_t fake_agent::last_view() const
{
    const std::lock_guard lock(mutex_);
    return last_view_;
}

dispatch_fixture::dispatch_fixture()
{
    settings.run_threads = 4;
    settings.completeness_wait = absl::Milliseconds(30);
    settings.agent_wait = absl::Milliseconds(30);
    settings.call_threads = 2;
    settings.revoke_call_timeout = absl::Milliseconds(50);
    owner.set_view(1, {entry_named("e1")});
}

fake_agent& dispatch_fixture::add_agent(const std::string& name, agent_mode mode,
                                        std::uint32_t slots)
{
    rpc::register_request request;
    *request.mutable_agent() = agent_named(name, "1", slots);
    auto added = std::make_shared<fake_agent>(registry, request.agent());
    added->set_mode(mode);
    {
        const std::lock_guard lock(mutex_);
        agents_[name] = added;
    }
    registry.on_register(request, monotonic_now());
    return *added;
}

std::shared_ptr<fake_agent> dispatch_fixture::agent(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    return agents_.at(name);
}

coordinator& dispatch_fixture::service()
{
    if (service_ == nullptr) {
        service_ =
            coordinator_builder()
                .with_ownership(owner)
                .with_configuration(source)
                .with_claims(claims)
                .with_agent_membership(membership)
                .with_registry(registry)
                .with_entries([this](const rpc::entry_member& member) {
                    const auto known = entries.find(member.name());
                    return known == entries.end() ? std::make_shared<fake_entry>() : known->second;
                })
                .with_agents([this](const rpc::agent_info& info) { return agent(info.name()); })
                .with_random(seeded_random())
                .with_settings(settings)
                .build();
    }
    return *service_;
}

fake_entry& dispatch_fixture::add_witness(std::uint64_t view)
{
    auto entry = std::make_shared<fake_entry>();
    entry->on_claim = [](const rpc::claim_request& request) -> result<rpc::claim_reply> {
        rpc::claim_reply reply;
        reply.set_accepted(true);
        reply.set_view_number(request.view_number());
        return reply;
    };
    entries["e2"] = entry;
    owner.set_view(view, {entry_named("e1"), entry_named("e2", "guro")});
    return *entry;
}

std::string dispatch_fixture::id_owned_by(const std::string& wanted, int first) const
{
    for (int i = first;; ++i) {
        const std::string id = absl::StrCat("s", i);
        if (coordinator_of(owner.snapshot().view, {"dambi", id})->name() == wanted) {
            return id;
        }
    }
}

rpc::submission_request dispatch_fixture::request(int tasks, absl::Duration ahead,
                                                  const std::string& id) const
{
    rpc::submission_request request;
    request.mutable_key()->set_client_account("dambi");
    request.mutable_key()->set_submission_id(id);
    request.set_template_name("check");
    request.set_parameters_json("{}");
    request.set_deadline_unix_ms(to_unix_ms(monotonic_now() + ahead));
    request.set_wait(true);
    request.set_body_hash("h1");
    for (int i = 0; i < tasks; ++i) {
        request.add_tasks(absl::StrCat(i));
    }
    return request;
}

result<rpc::submission_answer> dispatch_fixture::submit(const rpc::submission_request& request)
{
    return service().submit(request, monotonic_now());
}

bool dispatch_fixture::wait_for_open(std::uint32_t open)
{
    return becomes_true([&] {
        std::uint32_t outstanding = 0;
        for (const agent_state& agent : registry.agents()) {
            outstanding += agent.outstanding;
        }
        return outstanding == open;
    });
}

} // namespace carobfall::testing
