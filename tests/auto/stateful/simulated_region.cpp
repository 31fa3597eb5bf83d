#include "simulated_region.h"

#include "carobfall/config/declarations.h"
#include "carobfall/platform/configuration_rows.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace carobfall::stateful {
namespace {

constexpr const char* data_centres[] = {"mapo", "guro", "gangnam"};
/// Number of yield points that a thread passes in one round.
constexpr int yield_points_per_round = 16;
/// Start value of the clock of dead processes, which advances at each read so that all waits end.
const absl::Time dead_process_time = absl::FromUnixSeconds(4'000'000'000);
constexpr absl::Duration publish_timeout = absl::Seconds(5);

constexpr const char* declarations_text = R"(kind: client_account
name: dambi
token: 0123456789abcdef
---
kind: template
client_account: dambi
name: check
expected_run: 50ms
---
kind: template
client_account: dambi
name: rerun
expected_run: 50ms
idempotent: true
rerun_lost: true
)";

std::string data_centre_of(int index)
{
    return data_centres[index % 3];
}

} // namespace

simulated_region::simulated_region(rule_removed mutation, int entries)
    : mutation_(mutation), now_us_(absl::ToUnixMicros(absl::FromUnixSeconds(1'000'000)))
{
    for (int i = 0; i < entries; ++i) {
        entry_names_.push_back(absl::StrCat("entry-", i));
    }
    generations_.resize(entry_names_.size());
    entries_.resize(entry_names_.size());
    agents_.resize(agent_count);
    declare(long_deadline);
    for (int i = 0; i < this->entries(); ++i) {
        start_entry(i);
    }
    for (int i = 0; i < agent_count; ++i) {
        restart_agent(i);
    }
}

simulated_region::~simulated_region()
{
    for (int i = 0; i < entries(); ++i) {
        kill_entry(i);
    }
    scheduler_.join();
}

void simulated_region::declare(absl::Duration max_deadline)
{
    configuration_store store(table_);
    configuration_change_set request;
    request.change_id = absl::StrCat("declare-", absl::FormatDuration(max_deadline));
    std::string text = declarations_text;
    if (mutation_ == rule_removed::rerun) {
        text.insert(text.find("expected_run"), "idempotent: true\nrerun_lost: true\n");
    }
    auto parsed = parse_declarations(text, "test");
    for (declaration& value : parsed.value()) {
        if (auto* declared = std::get_if<dispatch_template>(&value)) {
            declared->max_deadline = max_deadline;
        }
        request.changes.push_back(to_change(value));
    }
    (void)store.apply(request).value();
}

clock_function simulated_region::clock_of(process_control& control)
{
    return [this, &control] {
        scheduler_.yield(control);
        return control.is_dead ? dead_process_time + absl::Seconds(++dead_clock_reads_) : now();
    };
}

std::shared_ptr<entry_process> simulated_region::entry(const std::string& name) const
{
    const auto found = std::find(entry_names_.begin(), entry_names_.end(), name);
    return found == entry_names_.end()
               ? nullptr
               : entries_[static_cast<std::size_t>(found - entry_names_.begin())];
}

std::shared_ptr<entry_process> simulated_region::entry(int index) const
{
    return entries_[static_cast<std::size_t>(index)];
}

std::shared_ptr<agent_process> simulated_region::agent(const std::string& name) const
{
    const auto found = std::find_if(agents_.begin(), agents_.end(), [&](const auto& agent) {
        return agent != nullptr && agent->info().name() == name;
    });
    return found == agents_.end() ? nullptr : *found;
}

std::shared_ptr<agent_process> simulated_region::agent(int index) const
{
    return agents_[static_cast<std::size_t>(index)];
}

bool simulated_region::refuses(const std::string& address) const
{
    return network_.dead_hosts_refuse && entry(address) == nullptr;
}

void simulated_region::start_entry(int index)
{
    const auto slot = static_cast<std::size_t>(index);
    if (entries_[slot] != nullptr) {
        return;
    }
    rpc::entry_member self;
    self.set_name(entry_names_[slot]);
    self.set_incarnation(absl::StrCat(index, ".", ++generations_[slot]));
    self.set_address(entry_names_[slot]);
    self.set_data_centre(data_centre_of(index));
    entries_[slot] = std::make_shared<entry_process>(*this, self);
    scheduler_.add(entries_[slot]->control);
}

void simulated_region::kill_entry(int index)
{
    const std::shared_ptr<entry_process> victim = entry(index);
    if (victim != nullptr) {
        dead_entries_.push_back(victim);
        entries_[static_cast<std::size_t>(index)] = nullptr;
        scheduler_.release(victim->control);
    }
}

void simulated_region::pause_entry(int index, bool paused)
{
    if (entry(index) != nullptr) {
        entry(index)->control.is_paused = paused;
    }
}

void simulated_region::restart_agent(int index)
{
    const auto slot = static_cast<std::size_t>(index);
    if (agents_[slot] != nullptr) {
        agents_[slot]->control.is_dead = true;
        checker_.on_agent_end(agents_[slot]->info().incarnation());
        dead_agents_.push_back(agents_[slot]);
    }
    agents_[slot] = std::make_shared<agent_process>(*this, absl::StrCat("agent-", index),
                                                    absl::StrCat(index, ".", ++agent_generation_),
                                                    data_centre_of(index));
}

void simulated_region::pause_agent(int index, bool paused)
{
    agent(index)->control.is_paused = paused;
}

void simulated_region::end_superseded()
{
    for (int i = 0; i < entries(); ++i) {
        if (entry(i) != nullptr && entry(i)->has_left) {
            checker_.on_graceful_end(entry(i)->self.name(), entry(i)->open_calls);
        }
        if (entry(i) != nullptr && (entry(i)->is_superseded || entry(i)->has_left)) {
            kill_entry(i);
        }
    }
}

void simulated_region::step_entry(int index)
{
    const std::shared_ptr<entry_process> target = entry(index);
    if (target != nullptr && !target->control.is_paused) {
        target->step(now());
        checker_.on_version(target->self.incarnation(), target->replica->current()->version);
        scheduler_.settle();
    }
}

void simulated_region::step_agent(int index)
{
    const std::shared_ptr<agent_process> target = agent(index);
    if (!target->control.is_paused) {
        target->step();
        if (target->has_left()) {
            checker_.on_graceful_end(target->info().name(), target->unfinished());
            restart_agent(index);
        }
    }
}

void simulated_region::advance(absl::Duration time)
{
    now_us_ += absl::ToInt64Microseconds(time);
}

void simulated_region::run(int rounds, absl::Duration interval)
{
    for (int round = 0; round < rounds; ++round) {
        const absl::Time before = now();
        advance(interval);
        const bool is_heartbeat_due =
            absl::ToUnixMillis(before) / absl::ToInt64Milliseconds(heartbeat_interval) !=
            absl::ToUnixMillis(now()) / absl::ToInt64Milliseconds(heartbeat_interval);
        for (int i = 0; i < entries() && is_heartbeat_due; ++i) {
            step_entry(i);
        }
        for (int i = 0; i < agent_count; ++i) {
            step_agent(i);
        }
        scheduler_.resume_all(yield_points_per_round);
        report_committed_changes();
        end_superseded();
    }
}

void simulated_region::leave_entry(int index)
{
    const std::shared_ptr<entry_process> target = entry(index);
    if (target == nullptr || target->control.is_paused ||
        std::exchange(target->is_draining, true)) {
        return;
    }
    target->submissions->begin_shutdown();
    scheduler_.spawn(target->control, [this, target] {
        const auto wait_until = [&](const std::function<bool()>& done) {
            while (mutation_ != rule_removed::drain && !target->control.is_dead && !done()) {
                scheduler_.yield(target->control);
            }
        };
        wait_until([&] { return target->submissions->running_jobs() == 0; });
        (void)target->members->leave(now());
        wait_until([&] { return target->open_calls == 0; });
        target->has_left = !target->control.is_dead;
    });
}

rpc::submission_request simulated_region::request_for(int id, int body)
{
    constexpr int deadlines_s[] = {2, 5, 20, 30, 120, 299};
    const auto [deadline, inserted] = deadlines_.try_emplace(id, 0);
    if (inserted) {
        deadline->second = to_unix_ms(now() + absl::Seconds(deadlines_s[id % 6]));
    }
    rpc::submission_request request;
    request.mutable_key()->set_client_account("dambi");
    request.mutable_key()->set_submission_id(absl::StrCat("s", id));
    request.set_template_name(id % 4 == 3 ? rerun_template : "check");
    request.set_parameters_json("{}");
    request.set_deadline_unix_ms(deadline->second);
    const std::string name = absl::StrCat("b", body);
    request.set_body_hash(mutation_ == rule_removed::body_hash ? "same" : name);
    const std::uint32_t tasks = 1 + static_cast<std::uint32_t>(id) % 6;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        request.add_tasks(payload_of(from_message(request.key()), name, index));
    }
    return request;
}

void simulated_region::submit(int index, const rpc::submission_request& request)
{
    const std::shared_ptr<entry_process> target = entry(index);
    if (target == nullptr || target->control.is_paused || target->is_draining) {
        return;
    }
    const std::size_t call = checker_.on_submit(request);
    ++target->open_calls;
    scheduler_.spawn(target->control, [this, target, request, call] {
        auto answer = target->submissions->submit(request, now());
        --target->open_calls;
        if (mutation_ == rule_removed::partial && answer &&
            answer.value().state() == rpc::submission_complete) {
            answer.value().mutable_tasks()->RemoveLast();
        }
        if (target->control.is_dead) {
            return checker_.on_lost(call);
        }
        checker_.on_answer(call, answer);
    });
}

void simulated_region::query_status(int index, const rpc::submission_request& request)
{
    const std::shared_ptr<entry_process> target = entry(index);
    if (target == nullptr || target->control.is_paused) {
        return;
    }
    scheduler_.spawn(target->control, [this, target, request] {
        const auto answer = target->submissions->status(from_message(request.key()), now());
        if (answer && !target->control.is_dead) {
            checker_.on_status(request, answer.value());
        }
    });
}

void simulated_region::cancel(int index, const submission_key& key)
{
    const std::shared_ptr<entry_process> target = entry(index);
    if (target != nullptr && !target->control.is_paused) {
        scheduler_.spawn(target->control,
                         [this, target, key] { (void)target->submissions->cancel(key, now()); });
    }
}

void simulated_region::change_data_centre(int index, const std::string& name, bool out)
{
    const std::shared_ptr<entry_process> target = entry(index);
    if (target == nullptr || target->control.is_paused) {
        return;
    }
    configuration_change_set request;
    request.change_id = absl::StrCat("change-", ++changes_);
    request.changes.push_back(data_centre_change(name, out));
    scheduler_.spawn(target->control, [this, target, request] {
        const result<std::uint64_t> version = target->store.apply(request);
        if (version && !target->control.is_dead &&
            (mutation_ == rule_removed::versions ||
             target->replica->publish(version.value(), publish_timeout))) {
            report_committed_changes();
            checker_.on_accepted(version.value(), now());
        }
    });
    report_committed_changes();
}

/// Reads the rows directly, so that no injected fault applies.
void simulated_region::report_committed_changes()
{
    constexpr std::string_view prefix = "data_centre/";
    const auto rows = table_.rows();
    for (auto row = rows.find(configuration_log_key(reported_version_ + 1)); row != rows.end();
         row = rows.find(configuration_log_key(reported_version_ + 1))) {
        const rpc::configuration_change change = decode_change(row->second).value();
        ++reported_version_;
        if (change.key().starts_with(prefix)) {
            checker_.on_committed(change.version(), change.key().substr(prefix.size()),
                                  !change.deleted() && change.value() == data_centre_out);
        }
    }
}

bool simulated_region::is_healthy() const
{
    std::uint64_t number = 0;
    for (int i = 0; i < entries(); ++i) {
        if (entry(i) == nullptr || entry(i)->is_draining) {
            return false;
        }
        const ownership_snapshot snapshot = entry(i)->members->snapshot();
        number = number == 0 ? snapshot.view.number() : number;
        if (!snapshot.usable() || !snapshot.complete || snapshot.view.number() != number ||
            snapshot.view.members_size() != entries() ||
            entry(i)->registry->agents().size() != agent_count ||
            entry(i)->replica->current()->version < checker_.accepted_version()) {
            return false;
        }
    }
    return std::all_of(agents_.begin(), agents_.end(),
                       [&](const auto& agent) { return agent->lease().is_valid(now()); });
}

bool simulated_region::begin()
{
    constexpr int max_rounds = 300;
    for (int round = 0; round < max_rounds && !is_healthy(); ++round) {
        run(1);
    }
    return is_healthy();
}

bool simulated_region::recover()
{
    network_.heal();
    network_.clear_faults();
    table_.set_outage(false);
    table_.lose_answers(0);
    // If both holders of a claim were lost, a lost agent incarnation keeps the entries incomplete
    // until the longest deadline and the retention have passed (360 s).
    constexpr int max_rounds = 900;
    constexpr int short_interval_rounds = 60;
    for (int round = 0; round < max_rounds && (round < 10 || !is_healthy()); ++round) {
        for (int i = 0; i < entries(); ++i) {
            start_entry(i);
            pause_entry(i, false);
        }
        for (int i = 0; i < agent_count; ++i) {
            pause_agent(i, false);
            agent(i)->set_backend(backend_state::present);
        }
        run(1, round < short_interval_rounds ? absl::Milliseconds(100) : heartbeat_interval);
    }
    return is_healthy();
}

std::string simulated_region::violation()
{
    report_committed_changes();
    const std::string found = checker_.violation();
    return found.empty() ? claims_.violation(entries_, now()) : found;
}

void silence_logs()
{
    FLAGS_minloglevel = google::GLOG_FATAL;
}

template <typename Reply>
result<Reply> simulated_region::call_entry(agent_process& from, const std::string& name,
                                           const std::function<Reply(entry_process&)>& action)
{
    return network_.call_process<Reply>(
        from.control, from.info().name(), name, [this, name] { return entry(name); }, action);
}

result<rpc::register_reply> simulated_region::register_agent(agent_process& from,
                                                             const std::string& name,
                                                             const rpc::register_request& request)
{
    return call_entry<rpc::register_reply>(from, name, [this, request](entry_process& target) {
        return target.registry->on_register(request, now());
    });
}

result<rpc::beat_reply> simulated_region::agent_beat(agent_process& from, const std::string& name,
                                                     const rpc::beat_request& request)
{
    return call_entry<rpc::beat_reply>(from, name, [this, request](entry_process& target) {
        return target.registry->on_beat(request, now());
    });
}

bool simulated_region::report(agent_process& from, const std::string& name,
                              const rpc::report_request& request)
{
    return call_entry<rpc::report_reply>(from, name,
                                         [this, request](entry_process& target) {
                                             target.registry->on_report(request, now());
                                             return rpc::report_reply{};
                                         })
        .has_value();
}

} // namespace carobfall::stateful
