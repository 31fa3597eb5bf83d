#pragma once

#include "carobfall/agent/task_ledger.h"
#include "carobfall/base/clock.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace carobfall {

/// Start time of all ledger tests.
inline constexpr std::int64_t test_epoch_ms = 1'800'000'000'000;

/// A ledger with a valid lease and a backend server, and a clock that the test advances.
struct ledger_fixture {
    explicit ledger_fixture(std::uint32_t slots = 2, ledger_options options = default_options())
        : ledger(std::move(options), lease)
    {
        renew();
        ledger.announce_backend(slots, absl::InfiniteFuture());
    }

    static ledger_options default_options()
    {
        ledger_options options;
        options.agent_incarnation = "agent-1";
        options.data_centre = "guro";
        return options;
    }

    bool renew() { return renew_sent_at(now); }

    bool renew_sent_at(absl::Time send_time)
    {
        rpc::beat_reply reply;
        reply.set_send_time_us(absl::ToUnixMicros(send_time));
        reply.set_lease_ms(2000);
        reply.set_configuration_version(configuration_version);
        reply.set_registered(true);
        if (data_centre_out) {
            reply.add_data_centres_out("guro");
        }
        return lease.renew(reply, send_time);
    }

    void set_data_centre_out(bool is_out)
    {
        data_centre_out = is_out;
        ++configuration_version;
        renew();
    }

    /// All submissions have their deadline one minute after `test_epoch_ms`.
    [[nodiscard]] static std::int64_t deadline_ms() { return test_epoch_ms + 60'000; }

    [[nodiscard]] rpc::start_request request(std::uint32_t index, std::uint32_t attempt,
                                             const std::string& submission = "s-1") const
    {
        rpc::start_request message;
        message.set_view_number(view);
        message.set_agent_incarnation("agent-1");
        *message.mutable_submission() = to_message({"ombili", submission});
        message.set_deadline_unix_ms(deadline_ms());
        message.mutable_coordinator()->set_address("127.0.0.1:1");
        rpc::start_task* task = message.add_tasks();
        task->set_index(index);
        task->set_attempt(attempt);
        task->set_payload("{}");
        return message;
    }

    rpc::task_status start(std::uint32_t index, std::uint32_t attempt = 1)
    {
        return ledger.start(request(index, attempt), now).tasks(0);
    }

    rpc::task_status revoke(std::uint32_t index, std::uint32_t attempt,
                            const std::string& submission = "s-1")
    {
        rpc::revoke_request message;
        message.set_view_number(view);
        message.set_agent_incarnation("agent-1");
        *message.mutable_submission() = to_message({"ombili", submission});
        message.set_deadline_unix_ms(deadline_ms());
        rpc::task_attempt* task = message.add_tasks();
        task->set_index(index);
        task->set_attempt(attempt);
        return ledger.revoke(message, now).tasks(0);
    }

    rpc::fence_reply fence(std::uint64_t number)
    {
        rpc::fence_request message;
        message.mutable_view()->set_number(number);
        message.set_with_records(true);
        return ledger.fence(message);
    }

    static rpc::task_result result_of(std::size_t bytes)
    {
        rpc::task_result result;
        result.set_success(true);
        result.set_body(std::string(bytes, 'x'));
        return result;
    }

    static task_key key(std::uint32_t index) { return {{"ombili", "s-1"}, index}; }

    absl::Time now{from_unix_ms(test_epoch_ms)};
    std::uint64_t view{1};
    std::uint64_t configuration_version{1};
    bool data_centre_out{false};
    start_lease lease;
    task_ledger ledger;
};

} // namespace carobfall
