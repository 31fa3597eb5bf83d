#include "channels.h"

#include "agent_process.h"
#include "entry_process.h"
#include "mutations.h"
#include "simulated_region.h"

#include "carobfall/entry/claim_acceptance.h"

#include <utility>

namespace carobfall::stateful {
namespace {

class fake_entry_channel final : public entry_channel {
public:
    fake_entry_channel(simulated_region& region, entry_process& from, rpc::entry_member to)
        : region_(region), from_(from), to_(std::move(to))
    {}

    result<rpc::forward_reply> forward(const rpc::forward_request& request, absl::Duration) override
    {
        return call<rpc::forward_reply>([&region = region_, request](entry_process& entry) {
            return entry.submissions->submit_forwarded(request, region.now());
        });
    }
    result<rpc::submission_answer> status(const rpc::status_request& request,
                                          absl::Duration) override
    {
        return query([&region = region_, request](entry_process& entry) {
            return entry.submissions->status_forwarded(request, region.now());
        });
    }
    result<rpc::submission_answer> cancel(const rpc::cancel_request& request,
                                          absl::Duration) override
    {
        return query([&region = region_, request](entry_process& entry) {
            return entry.submissions->cancel_forwarded(request, region.now());
        });
    }
    result<rpc::claim_reply> claim_submission(const rpc::claim_request& request,
                                              absl::Duration) override
    {
        const bool stored = region_.mutation() != rule_removed::witness;
        return call<rpc::claim_reply>([stored, request](entry_process& entry) {
            claim_store discarded;
            return accept_claim(request, entry.members->state(), stored ? entry.claims : discarded);
        });
    }
    result<rpc::fetch_claims_reply> fetch_claims(const rpc::fetch_claims_request& request,
                                                 absl::Duration) override
    {
        return call<rpc::fetch_claims_reply>(
            [request](entry_process& entry) { return entry.transfer->serve(request); });
    }
    result<rpc::prepare_view_reply> prepare_view(const rpc::prepare_view_request& request,
                                                 absl::Duration) override
    {
        return call<rpc::prepare_view_reply>(
            [request](entry_process& entry) { return entry.members->prepare(request); });
    }
    result<rpc::activate_view_reply> activate_view(const rpc::activate_view_request& request,
                                                   absl::Duration) override
    {
        return call<rpc::activate_view_reply>([&region = region_, request](entry_process& entry) {
            return entry.members->activate(request, region.now());
        });
    }
    /// Handled by whichever process has the address.
    result<rpc::entry_beat_reply> entry_beat(const rpc::entry_beat_request& request,
                                             absl::Duration) override
    {
        return call<rpc::entry_beat_reply>(
            [&region = region_, request](entry_process& entry) {
                entry.registry->on_entry_beat(request, region.now());
                return entry.members->handle_heartbeat(request);
            },
            true);
    }
    result<rpc::push_configuration_reply>
    push_configuration(const rpc::push_configuration_request& request, absl::Duration) override
    {
        return call<rpc::push_configuration_reply>(
            [request](entry_process& entry) { return entry.replica->receive(request); });
    }
    result<rpc::retry_now_reply> retry_now(const rpc::retry_now_request& request,
                                           absl::Duration) override
    {
        return call<rpc::retry_now_reply>([&region = region_, request](entry_process& entry) {
            rpc::retry_now_reply reply;
            reply.set_cleared(entry.submissions->retry_now(request.agent(), region.now()));
            return reply;
        });
    }

private:
    template <typename Reply>
    result<Reply> call(const std::function<Reply(entry_process&)>& action,
                       bool any_incarnation = false)
    {
        const auto find = [&region = region_, to = to_,
                           any_incarnation]() -> std::shared_ptr<entry_process> {
            auto entry = region.entry(to.name());
            const bool is_receiver =
                entry != nullptr &&
                (any_incarnation || entry->self.incarnation() == to.incarnation());
            return is_receiver ? entry : nullptr;
        };
        return region_.network().call_process<Reply>(from_.control, from_.self.name(), to_.name(),
                                                     find, action);
    }

    /// Makes a call whose receiver may return an error. This error becomes the error of the call.
    result<rpc::submission_answer>
    query(const std::function<result<rpc::submission_answer>(entry_process&)>& action)
    {
        using inner = result<rpc::submission_answer>;
        const auto reply = call<std::shared_ptr<inner>>(
            [action](entry_process& entry) { return std::make_shared<inner>(action(entry)); });
        if (!reply) {
            return boost::outcome_v2::failure(reply.error());
        }
        return *reply.value();
    }

    simulated_region& region_;
    entry_process& from_;
    const rpc::entry_member to_;
};

class fake_agent_channel final : public agent_channel {
public:
    fake_agent_channel(simulated_region& region, entry_process& from, std::string to)
        : region_(region), from_(from), to_(std::move(to))
    {}

    result<rpc::start_reply> start(const rpc::start_request& request, absl::Duration) override
    {
        rpc::start_request sent = request;
        if (region_.mutation() == rule_removed::view_check) {
            sent.set_view_number(std::numeric_limits<std::uint64_t>::max());
        }
        const std::uint64_t view_number = request.view_number();
        return call<rpc::start_reply>([&region = region_, sent, view_number](agent_process& agent) {
            region.claims().on_start_request(sent, view_number);
            return agent.ledger().start(sent, region.now());
        });
    }
    result<rpc::revoke_reply> revoke(const rpc::revoke_request& request, absl::Duration) override
    {
        const bool recorded = region_.mutation() != rule_removed::tombstones;
        return call<rpc::revoke_reply>(
            [&region = region_, request, recorded](agent_process& agent) {
                return recorded ? agent.ledger().revoke(request, region.now())
                                : unrecorded_revoke(agent, request);
            });
    }
    result<rpc::fence_reply> fence(const rpc::fence_request& request, absl::Duration) override
    {
        const bool recorded = region_.mutation() != rule_removed::records;
        return call<rpc::fence_reply>([request, recorded](agent_process& agent) {
            rpc::fence_reply reply = agent.ledger().fence(request);
            if (!recorded) {
                reply.clear_records();
            }
            return reply;
        });
    }

private:
    /// Replies that tasks without a record are revoked, but stores no tombstone.
    static rpc::revoke_reply unrecorded_revoke(agent_process& agent,
                                               const rpc::revoke_request& request)
    {
        rpc::revoke_reply reply;
        for (const rpc::task_attempt& task : request.tasks()) {
            const task_key key{from_message(request.submission()), task.index()};
            const auto known = agent.ledger().report_of(key, task.attempt());
            rpc::task_status* status = reply.add_tasks();
            status->set_index(task.index());
            status->set_attempt(task.attempt());
            status->set_state(rpc::task_state_revoked);
            if (known) {
                *status = known->status();
            }
        }
        return reply;
    }

    template <typename Reply>
    result<Reply> call(const std::function<Reply(agent_process&)>& action)
    {
        const auto find = [&region = region_, to = to_] { return region.agent(to); };
        return region_.network().call_process<Reply>(from_.control, from_.self.name(), to_, find,
                                                     action);
    }

    simulated_region& region_;
    entry_process& from_;
    const std::string to_;
};

} // namespace

entry_channel_factory entry_channels_from(simulated_region& region, entry_process& from)
{
    return [&region, &from](const rpc::entry_member& member) {
        return std::make_shared<fake_entry_channel>(region, from, member);
    };
}

agent_channel_factory agent_channels_from(simulated_region& region, entry_process& from)
{
    return [&region, &from](const rpc::agent_info& agent) {
        return std::make_shared<fake_agent_channel>(region, from, agent.address());
    };
}

} // namespace carobfall::stateful
