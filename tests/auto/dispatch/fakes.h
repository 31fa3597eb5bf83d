#pragma once

#include "../support/unreachable_entry.h"
#include "carobfall/base/clock.h"
#include "carobfall/dispatch/agent_channel.h"
#include "carobfall/dispatch/agent_registry.h"
#include "carobfall/dispatch/coordinator_builder.h"
#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/ownership.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carobfall::testing {

inline constexpr std::uint64_t test_seed = 20240611;

inline random_source seeded_random(std::uint64_t seed = test_seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    auto mutex = std::make_shared<std::mutex>();
    return [engine, mutex] {
        const std::lock_guard lock(*mutex);
        return (*engine)();
    };
}

inline rpc::entry_member entry_named(const std::string& name,
                                     const std::string& data_centre = "mapo")
{
    rpc::entry_member member;
    member.set_name(name);
    member.set_incarnation(name + "-1");
    member.set_address(name);
    member.set_data_centre(data_centre);
    return member;
}

inline rpc::agent_info agent_named(const std::string& name, const std::string& incarnation = "1",
                                   std::uint32_t slots = 8)
{
    rpc::agent_info info;
    info.set_name(name);
    info.set_incarnation(incarnation);
    info.set_address(name);
    info.set_data_centre("mapo");
    info.mutable_backend_server()->set_name(name);
    info.mutable_backend_server()->set_slots(slots);
    info.mutable_backend_server()->set_processors(64);
    return info;
}

class fake_ownership final : public ownership {
public:
    explicit fake_ownership(rpc::entry_member self) : self_(std::move(self)) {}

    [[nodiscard]] const rpc::entry_member& self() const override { return self_; }
    [[nodiscard]] ownership_snapshot snapshot() const override
    {
        const std::lock_guard lock(mutex_);
        return snapshot_;
    }
    bool wait_for_change(std::uint64_t number, absl::Duration limit) const override
    {
        if (snapshot().view.number() == number) {
            absl::SleepFor(limit);
        }
        return snapshot().view.number() != number;
    }

    void set_view(std::uint64_t number, const std::vector<rpc::entry_member>& members)
    {
        const std::lock_guard lock(mutex_);
        snapshot_.view.Clear();
        snapshot_.view.set_number(number);
        snapshot_.is_member = false;
        for (const rpc::entry_member& member : members) {
            *snapshot_.view.add_members() = member;
            snapshot_.is_member = snapshot_.is_member || member.name() == self_.name();
        }
        snapshot_.effective_since = monotonic_now();
        snapshot_.in_transition = false;
        snapshot_.complete = true;
    }
    void change(const std::function<void(ownership_snapshot&)>& edit)
    {
        const std::lock_guard lock(mutex_);
        edit(snapshot_);
    }

private:
    const rpc::entry_member self_;
    mutable std::mutex mutex_;
    ownership_snapshot snapshot_;
};

class fake_configuration final : public configuration_source {
public:
    fake_configuration()
    {
        auto initial = std::make_shared<configuration>();
        initial->version = 7;
        initial->accounts["dambi"].name = "dambi";
        dispatch_template& declaration = initial->templates[{"dambi", "check"}];
        declaration.client_account = "dambi";
        declaration.name = "check";
        declaration.expected_run = absl::Milliseconds(1);
        current_ = initial;
    }

    [[nodiscard]] configuration_ptr current() const override
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }
    [[nodiscard]] absl::Duration fresh_for(absl::Time /*now*/) const override
    {
        const std::lock_guard lock(mutex_);
        return fresh_;
    }
    void change(const std::function<void(configuration&)>& edit)
    {
        const std::lock_guard lock(mutex_);
        auto next = std::make_shared<configuration>(*current_);
        edit(*next);
        current_ = next;
    }
    void change_template(const std::function<void(dispatch_template&)>& edit)
    {
        change([&](configuration& next) { edit(next.templates.at({"dambi", "check"})); });
    }
    void set_fresh_for(absl::Duration fresh)
    {
        const std::lock_guard lock(mutex_);
        fresh_ = fresh;
    }

private:
    mutable std::mutex mutex_;
    configuration_ptr current_;
    absl::Duration fresh_{absl::Seconds(5)};
};

class fake_membership final : public agent_membership {
public:
    result<void> record_join(const rpc::agent_info& /*agent*/, absl::Time /*now*/) override
    {
        if (store_down) {
            return failure(error_kind::unavailable, "the table service is down", "wait");
        }
        return success();
    }
    result<void> record_leave(const rpc::agent_ref& /*agent*/, absl::Time /*now*/) override
    {
        return success();
    }
    result<std::vector<agent_member>> members(absl::Time /*now*/) override { return recorded; }

    bool store_down{false};
    std::vector<agent_member> recorded;
};

/// Another entry. Calls without a handler fail as unreachable.
class fake_entry final : public unreachable_entry {
public:
    result<rpc::forward_reply> forward(const rpc::forward_request& request, timeout) override
    {
        return on_forward ? on_forward(request) : unreachable();
    }
    result<rpc::submission_answer> status(const rpc::status_request& request, timeout) override
    {
        return on_status ? on_status(request) : unreachable();
    }
    result<rpc::submission_answer> cancel(const rpc::cancel_request& request, timeout) override
    {
        return on_cancel ? on_cancel(request) : unreachable();
    }
    result<rpc::claim_reply> claim_submission(const rpc::claim_request& request, timeout) override
    {
        return on_claim ? on_claim(request) : unreachable();
    }

    std::function<result<rpc::forward_reply>(const rpc::forward_request&)> on_forward;
    std::function<result<rpc::submission_answer>(const rpc::status_request&)> on_status;
    std::function<result<rpc::submission_answer>(const rpc::cancel_request&)> on_cancel;
    std::function<result<rpc::claim_reply>(const rpc::claim_request&)> on_claim;
};

enum class agent_mode {
    run,        ///< finishes each task and reports it before the reply to the start
    queue,      ///< keeps tasks queued
    hold,       ///< starts tasks, which finish when the test calls `finish`
    refuse,     ///< refuses with `reason`
    lose_start, ///< starts have no effect and end with an unknown outcome
    lose_reply, ///< as `hold`, but the reply to the start is lost
    unreachable ///< calls have no effect and fail as unreachable
};

/// An agent with a ledger of task records.
class fake_agent final : public agent_channel {
public:
    explicit fake_agent(agent_registry& registry, rpc::agent_info agent)
        : registry_(registry), info(std::move(agent))
    {}

    result<rpc::start_reply> start(const rpc::start_request& request,
                                   absl::Duration timeout) override;
    result<rpc::revoke_reply> revoke(const rpc::revoke_request& request,
                                     absl::Duration timeout) override;
    result<rpc::fence_reply> fence(const rpc::fence_request& request,
                                   absl::Duration timeout) override;

    /// Finishes a started or queued task, with or without a report to the entry.
    void finish(const submission_key& key, std::uint32_t index, bool with_report = true,
                bool succeeds = true);
    void report(const submission_key& key, const rpc::task_status& status);
    void set_mode(agent_mode mode);
    [[nodiscard]] rpc::task_status record(const submission_key& key, std::uint32_t index) const;
    [[nodiscard]] int starts() const;
    [[nodiscard]] std::uint64_t last_view() const;

    const rpc::agent_info& registered() const { return info; }
    rpc::refusal_reason reason{rpc::refusal_queue_full};
    std::uint32_t queued_in_reply{0}; ///< queued tasks in the replies to starts
    bool task_succeeds{true};
    bool refuse_revokes{false}; ///< revokes have no effect and end with an unknown outcome

private:
    rpc::task_status accept(const submission_key& key, const rpc::start_task& task);

    agent_registry& registry_;
    rpc::agent_info info;
    mutable std::mutex mutex_;
    agent_mode mode_{agent_mode::run};
    std::map<task_key, rpc::task_status> ledger_;
    int starts_{0}; ///< number of tasks started
    std::uint64_t last_view_{0};
};

/// Entry "e1" with agents; further entries are added by the tests.
class dispatch_fixture {
public:
    dispatch_fixture();

    fake_agent& add_agent(const std::string& name, agent_mode mode = agent_mode::run,
                          std::uint32_t slots = 8);
    std::shared_ptr<fake_agent> agent(const std::string& name);
    coordinator& service();
    /// Sets a view with a second entry, "e2", which acknowledges every claim.
    fake_entry& add_witness(std::uint64_t view = 2);
    /// Returns the first id from number `first` on whose current coordinator is `owner`.
    std::string id_owned_by(const std::string& owner, int first = 0) const;
    rpc::submission_request request(int tasks, absl::Duration ahead = absl::Seconds(2),
                                    const std::string& id = "s1") const;
    result<rpc::submission_answer> submit(const rpc::submission_request& request);
    /// Waits until the agents have `open` open attempts in total.
    bool wait_for_open(std::uint32_t open);

    fake_ownership owner{entry_named("e1")};
    fake_configuration source;
    fake_membership membership;
    claim_store claims;
    agent_registry registry{membership, source, owner};
    dispatch_settings settings;
    std::map<std::string, std::shared_ptr<fake_entry>> entries;

private:
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<fake_agent>> agents_;
    std::unique_ptr<coordinator> service_;
};

} // namespace carobfall::testing
