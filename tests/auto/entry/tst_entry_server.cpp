#include "../support/fake_table_service.h"
#include "../support/wait.h"
#include "carobfall/entry/agent_membership_table.h"
#include "carobfall/entry/connection_probe.h"
#include "carobfall/entry/entry_server.h"
#include "carobfall/entry/entry_threads.h"
#include "carobfall/entry/grpc_entry_channel.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <doctest/doctest.h>

#include <unistd.h>

#include <atomic>
#include <thread>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

constexpr absl::Duration call_timeout = absl::Seconds(5);

class silent_agents : public agent_events {
public:
    rpc::register_reply on_register(const rpc::register_request&, absl::Time) override
    {
        return {};
    }
    rpc::beat_reply on_beat(const rpc::beat_request& request, absl::Time) override
    {
        rpc::beat_reply reply;
        reply.set_send_time_us(request.send_time_us());
        return reply;
    }
    void on_report(const rpc::report_request&, absl::Time) override {}
    void on_entry_beat(const rpc::entry_beat_request&, absl::Time) override {}
};

// Blocks forwarded submissions until they are released.
class blocking_submissions : public submission_service {
public:
    absl::Notification released;
    std::atomic<int> waiting{0};

    result<rpc::submission_answer> submit(const rpc::submission_request&, absl::Time) override
    {
        return rpc::submission_answer();
    }
    result<rpc::submission_answer> status(const submission_key&, absl::Time) override
    {
        return rpc::submission_answer();
    }
    result<rpc::submission_answer> cancel(const submission_key&, absl::Time) override
    {
        return rpc::submission_answer();
    }
    rpc::forward_reply submit_forwarded(const rpc::forward_request& request, absl::Time) override
    {
        ++waiting;
        released.WaitForNotification();
        rpc::forward_reply reply;
        reply.set_view_number(request.view_number());
        return reply;
    }
    result<rpc::submission_answer> status_forwarded(const rpc::status_request& request,
                                                    absl::Time) override
    {
        return failure(error_kind::not_found, to_string(from_message(request.key())),
                       "check the id");
    }
    result<rpc::submission_answer> cancel_forwarded(const rpc::cancel_request&, absl::Time) override
    {
        return rpc::submission_answer();
    }
    std::uint32_t retry_now(const std::string&, absl::Time) override { return 3; }
};

// Returns a port below the ephemeral range, which outgoing connections use. The ports differ from
// those of concurrent runs of this test. Collisions with either made the server fail to start.
int free_port()
{
    static int next = 30100 + getpid() % 100 * 20;
    while (!connection_refused(absl::StrCat("127.0.0.1:", next), absl::Seconds(1))) {
        ++next;
    }
    return next++;
}

// An entry with real threads and gRPC connections on loopback.
class loopback_entry {
public:
    loopback_entry(table_service& table, const std::string& name)
        : self_(make_self(name)),
          channels_(make_grpc_entry_channels()),
          members_({self_, "r"}, table, make_hooks()),
          replica_(members_, make_replica_hooks()),
          agents_table_(
              table, "r", [this] { return members_.may_record_joins(); },
              [](const rpc::agent_info&) { return success(); }),
          transfer_({}, members_.state(), claims_, agents_table_, {channels_, nullptr}),
          server_({self_.address(), {2, 2, 2}, 8},
                  {members_, claims_, transfer_, replica_, agents_, submissions, monotonic_now})
    {
        REQUIRE(server_.start());
        threads_ =
            std::make_unique<entry_threads>(members_, transfer_, claims_, replica_, monotonic_now);
    }
    ~loopback_entry() { threads_.reset(); }
    loopback_entry(const loopback_entry&) = delete;
    loopback_entry& operator=(const loopback_entry&) = delete;

    blocking_submissions submissions;

    [[nodiscard]] const rpc::entry_member& self() const { return self_; }
    [[nodiscard]] entry_channel_factory& channels() { return channels_; }
    [[nodiscard]] membership& members() { return members_; }
    [[nodiscard]] bool is_ready(int members) const
    {
        const ownership_snapshot snapshot = members_.snapshot();
        return snapshot.usable() && snapshot.complete && snapshot.view.members_size() == members &&
               replica_.fresh_for(monotonic_now()) > absl::ZeroDuration();
    }

private:
    static rpc::entry_member make_self(const std::string& name)
    {
        rpc::entry_member self;
        self.set_name(name);
        self.set_incarnation(random_id());
        self.set_address(absl::StrCat("127.0.0.1:", free_port()));
        return self;
    }

    membership_hooks make_hooks()
    {
        membership_hooks hooks;
        hooks.channels = channels_;
        hooks.claims_transferred = [this](const auto& view) {
            return transfer_.has_served_all(view);
        };
        hooks.configuration_version = [this] { return replica_.reported_version(); };
        hooks.on_heartbeat_replies = [this](auto sent, const auto& view, const auto& replies) {
            replica_.on_heartbeat_replies(sent, view, replies);
        };
        return hooks;
    }

    configuration_replica_hooks make_replica_hooks()
    {
        configuration_replica_hooks hooks;
        hooks.read_changes = [](std::uint64_t) {
            return result<rpc::push_configuration_request>(rpc::push_configuration_request());
        };
        hooks.channels = channels_;
        return hooks;
    }

    rpc::entry_member self_;
    entry_channel_factory channels_;
    membership members_;
    configuration_replica replica_;
    agent_membership_table agents_table_;
    claim_store claims_;
    claim_transfer transfer_;
    silent_agents agents_;
    entry_server server_;
    std::unique_ptr<entry_threads> threads_;
};

} // namespace

TEST_CASE("entries on loopback agree on a view, and one that leaves or dies is removed")
{
    fake_table_service table;
    loopback_entry first(table, "first");
    loopback_entry second(table, "second");
    auto third = std::make_unique<loopback_entry>(table, "third");
    REQUIRE(becomes_true(
        [&] { return first.is_ready(3) && second.is_ready(3) && third->is_ready(3); }));
    third.reset();
    REQUIRE(becomes_true([&] { return first.is_ready(2) && second.is_ready(2); }));
    CHECK(second.members().leave(monotonic_now()));
    CHECK(becomes_true([&] { return first.is_ready(1); }));
}

TEST_CASE("errors keep their kind over gRPC, and `unavailable` means that a call had no effect")
{
    fake_table_service table;
    loopback_entry entry(table, "only");
    const auto channel = entry.channels()(entry.self());
    rpc::status_request status;
    status.mutable_key()->set_submission_id("s");
    const auto unknown = channel->status(status, call_timeout);
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().kind == error_kind::not_found);
    CHECK(unknown.error().remedy == "check the id");
    CHECK(channel->retry_now({}, call_timeout).value().cleared() == 3);

    const auto late = channel->forward({}, absl::Milliseconds(100));
    CHECK(late.error().kind == error_kind::outcome_unknown);
    entry.submissions.released.Notify();

    rpc::entry_member former = entry.self();
    former.set_incarnation("former");
    CHECK(entry.channels()(former)->claim_submission({}, call_timeout).error().kind ==
          error_kind::unavailable);
    CHECK(entry.channels()(former)->entry_beat({}, call_timeout).value().member().incarnation() ==
          entry.self().incarnation());

    rpc::entry_member absent;
    absent.set_address(absl::StrCat("127.0.0.1:", free_port()));
    CHECK(entry.channels()(absent)->entry_beat({}, call_timeout).error().kind ==
          error_kind::unavailable);
}

// Guards against heartbeats that are queued behind forwarded submissions, which would get the entry
// removed from the view.
TEST_CASE("blocked forward calls are limited in number and don't delay heartbeats")
{
    fake_table_service table;
    loopback_entry entry(table, "only");
    const auto channel = entry.channels()(entry.self());
    std::vector<std::thread> callers;
    for (int i = 0; i < 2; ++i) {
        callers.emplace_back([&] { CHECK(channel->forward({}, call_timeout)); });
    }
    REQUIRE(becomes_true([&] { return entry.submissions.waiting == 2; }));
    CHECK(channel->forward({}, call_timeout).error().kind == error_kind::overloaded);
    CHECK(channel->entry_beat({}, call_timeout));
    entry.submissions.released.Notify();
    for (std::thread& caller : callers) {
        caller.join();
    }
}
