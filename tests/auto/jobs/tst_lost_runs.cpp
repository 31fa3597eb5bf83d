#include "region_fixture.h"
#include "relay.h"

#include "carobfall/jobs/run_bounds.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <doctest/doctest.h>

#include <array>
#include <thread>

using namespace carobfall;
using namespace carobfall::test;

namespace {

constexpr const char* job_id = "00000000000000aa";

/// A task that runs at agent "a" while agent "b" is available for a second run.
struct running_task {
    explicit running_task(region& test) : first(test.add_agent("a")), region_(test)
    {
        first.worker.run_time = absl::Seconds(30);
        REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
        test.submit(job_id, 1, answer);
        REQUIRE(test.run_until([&] { return first.worker.active() == 1; }));
        // The first worker has no room for a second run.
        worker_announcement full = first.announcement;
        full.capacity.cpu_millicores = 6200;
        ++full.sequence;
        announce_in_background(test.context, first.service, full);
        second = &test.add_agent("b");
        REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 2; }));
    }

    bool wait_for_second_run()
    {
        return region_.run_until([&] { return second->worker.starts == 1; }, absl::Seconds(4));
    }

    agent_fixture& first;
    agent_fixture* second{nullptr};
    std::optional<job_answer> answer;

private:
    region& region_;
};

/// An entry that sends only the frames that a test asks for. It can also send while the event loop
/// of the agent is blocked.
class scripted_entry {
public:
    scripted_entry()
        : acceptor_(context_, {asio::ip::make_address_v4("127.0.0.1"), 0}), socket_(context_)
    {}

    [[nodiscard]] std::string address() const
    {
        return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
    }
    /// Accepts the connection of an agent. The agent must have connected before.
    void accept() { acceptor_.accept(socket_); }
    /// Sends a frame that permits runs, with an order for task `index` if it is set.
    void send(std::optional<std::uint32_t> index = std::nullopt)
    {
        begin_frame(index);
        end_frame();
    }
    /// Sends only the length of the frame; `end_frame` sends the rest.
    void begin_frame(std::optional<std::uint32_t> index)
    {
        fleet::entry_frame frame;
        frame.set_echo_us(absl::ToUnixMicros(boot_now()));
        if (index) {
            fleet::task_order* order = frame.add_orders();
            order->set_job_id(job_id);
            order->set_index(*index);
            order->set_cpu_millicores(6200);
            order->set_expected_run_ms(100000);
            order->set_start_by_ms(1000);
            order->set_late_start_by_ms(1000);
            order->set_give_up_ms(200000);
            order->set_service("adviser");
        }
        body_ = frame.SerializeAsString();
        std::array<unsigned char, 4> prefix{};
        boost::endian::store_big_u32(prefix.data(), static_cast<std::uint32_t>(body_.size()));
        asio::write(socket_, asio::buffer(prefix));
    }
    void end_frame() { asio::write(socket_, asio::buffer(body_)); }
    void close()
    {
        acceptor_.close();
        socket_.close();
    }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::string body_;
};

/// A worker that delays its answers to renewals for the full allowed time, like a real worker while
/// no run ends.
class delaying_worker : public fake_worker {
public:
    explicit delaying_worker(asio::io_context& context) : fake_worker(context), context_(context) {}

    asio::awaitable<renewal_reply> renew(const renewal_order& order) override
    {
        renewal_reply reply = co_await fake_worker::renew(order);
        if (reply.outcome != renewal_outcome::renewed) {
            co_return reply;
        }
        asio::steady_timer pause(context_, timer_duration(order.wait));
        co_await pause.async_wait(asio::use_awaitable);
        reply.clock = absl::ToUnixMillis(boot_now());
        co_return reply;
    }

private:
    asio::io_context& context_;
};

/// Blocks the event loop of the agent, as if its process were paused.
void block_loop(absl::Duration duration)
{
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
}

} // namespace

// Guards against time limits that are plausible one by one but too long together. A run without
// contact has to end before other processes start its task again.
TEST_CASE("runs of silent processes have ended before their tasks start again")
{
    CHECK(longest_run_after_contact_ms <= runs_ended_after_ms);
    CHECK(longest_run_after_contact_ms <= callers_resend_after_ms);
}

// Guards against an entry that treats the reconnection of an agent as the end of the agent's runs.
// The runs may go on, because the worker may leave stop orders unanswered.
TEST_CASE("a task of a reconnected agent is placed again only after its run has ended")
{
    asio::io_context ports;
    const asio::ip::tcp::endpoint address = free_endpoint(ports);
    region test(address);
    relay link(test.context, address, test.endpoint);
    running_task task(test);
    task.first.worker.ignore_stops = true;
    link.reset_first();
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 2; }));
    CHECK(task.wait_for_second_run());
    CHECK(test.counter.max_concurrent_runs() == 1);
    CHECK(task.first.worker.has_ended(run_end_kind::lapsed));
}

// Guards against jobs that wait for the whole time limit although the agent reports that all runs
// of its lost connection have ended.
TEST_CASE("a task of a reconnected agent is placed again as soon as its run has ended")
{
    asio::io_context ports;
    const asio::ip::tcp::endpoint address = free_endpoint(ports);
    region test(address);
    relay link(test.context, address, test.endpoint);
    running_task task(test);
    const absl::Time lost_at = boot_now();
    link.reset_first();
    CHECK(test.run_until([&] { return task.first.worker.starts + task.second->worker.starts == 2; },
                         absl::Seconds(4)));
    CHECK(boot_now() - lost_at < absl::Milliseconds(1000));
    CHECK(test.counter.max_concurrent_runs() == 1);
}

// Guards against an agent that treats a refused connection as the end of its worker: a partitioned
// worker refuses connections while its runs go on.
TEST_CASE("tasks of a worker that refuses connections are placed again only after its lease ends")
{
    region test;
    running_task task(test);
    task.first.worker.refuse_connections = true;
    CHECK(task.wait_for_second_run());
    CHECK(test.counter.max_concurrent_runs() == 1);
    CHECK(task.first.worker.has_ended(run_end_kind::lapsed));
}

// Guards against an agent that treats a worker's deregistration as the end of its runs. The worker
// may end some time later. The deregistration may also be a delayed message of an earlier
// incarnation with the same id.
TEST_CASE("tasks of a worker that leaves are placed again only after its lease ends")
{
    region test;
    running_task task(test);
    task.first.service.worker_left(task.first.announcement.id);
    CHECK(task.wait_for_second_run());
    CHECK(test.counter.max_concurrent_runs() == 1);
    CHECK(task.first.worker.has_ended(run_end_kind::lapsed));
}

// Guards against tasks that wait for the end of the lease although the worker has deregistered and
// ended.
TEST_CASE("tasks of a worker that has left and refuses connections are placed again at once")
{
    region test;
    running_task task(test);
    task.first.service.worker_left(task.first.announcement.id);
    task.first.worker.crash();
    const absl::Time left_at = boot_now();
    CHECK(task.wait_for_second_run());
    CHECK(boot_now() - left_at < lease_time);
    CHECK(test.counter.max_concurrent_runs() == 1);
}

// Guards against renewals that prolong a run after its entry is lost. The worker leaves stop orders
// unanswered, and the caller resubmits its job to another entry meanwhile.
TEST_CASE("a run that can't be stopped ends with its lease before callers resubmit their job")
{
    asio::io_context context{1};
    scripted_entry entry;
    agent_fixture agent(context, "a", "1", entry.address());
    agent.worker.run_time = absl::Seconds(30);
    agent.worker.ignore_stops = true;
    context.run_for(std::chrono::milliseconds(100));
    entry.accept();
    const absl::Time last_contact = boot_now();
    entry.send(0);
    REQUIRE(run_until(
        context, [&] { return agent.worker.active() == 1; }, absl::Milliseconds(300)));
    CHECK(run_until(
        context, [&] { return agent.worker.active() == 0; }, absl::Seconds(4)));
    CHECK(agent.worker.has_ended(run_end_kind::lapsed));
    CHECK(agent.worker.lease_end() - last_contact <= callers_resend_after);
}

// Guards against late orders to an earlier incarnation that are carried out by its successor with
// the same id. The clock of the successor restarts, so that a token from the clock alone would be
// lower than the token of these orders.
TEST_CASE("fencing tokens increase over incarnations of a worker and over agents")
{
    asio::io_context context{1};
    event_log log("a", "mapo");
    fake_worker worker(context);
    const auto token_of = [&](worker_lease& lease, std::int64_t started_unix_ms,
                              absl::Duration clock) {
        worker.clock_start = boot_now() - clock;
        lease.set_incarnation(started_unix_ms);
        context.restart(); // the loop has stopped when it ran out of work
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { co_await lease.ensure_token(0); },
            asio::detached);
        REQUIRE(run_until(
            context, [&] { return lease.fencing_token().has_value(); }, absl::Seconds(2)));
        return *lease.fencing_token();
    };
    worker_lease lease(worker, log);
    const std::int64_t first = token_of(lease, 1000000, absl::Seconds(60));
    const std::int64_t second = token_of(lease, 1070000, absl::Milliseconds(300));
    CHECK(second > first);
    worker_lease successor(worker, log);
    const std::int64_t third = token_of(successor, 1070000, absl::Milliseconds(700));
    CHECK(third > second);
    // The time of day may have been set back between two starts of the worker.
    CHECK(token_of(successor, 1069000, absl::Milliseconds(300)) > third);
}

// Guards against a restarted agent that extends the lease of runs of an earlier agent. If it can't
// stop these runs, they would go on while entries place their tasks elsewhere.
TEST_CASE("a restarted agent does not extend the lease of runs that it has not ordered")
{
    asio::io_context context{1};
    fake_worker worker(context);
    worker.run_time = absl::Seconds(30);
    worker.ignore_stops = true;
    start_order leftover_order;
    leftover_order.task = {job_id, 0, 1};
    leftover_order.lease_end = absl::ToUnixMillis(boot_now() + absl::Milliseconds(400));
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { co_await worker.start(leftover_order); },
        asio::detached);
    agent_process agent(context, "a", "2", worker, announcement_of("a"), "127.0.0.1:9");
    context.run_for(std::chrono::milliseconds(200));
    CHECK(worker.active() == 1);
    CHECK(worker.stops >= 1);
    context.run_for(std::chrono::milliseconds(300));
    CHECK(worker.active() == 0);
}

// Guards against a grace period for stops that begins when the agent notices the closed connection.
// A paused agent notices it only after the permission of the entry has ended.
TEST_CASE("after a pause of the agent, the run of a lost entry ends before callers resubmit")
{
    asio::io_context context{1};
    scripted_entry entry;
    agent_fixture agent(context, "a", "1", entry.address());
    agent.worker.run_time = absl::Seconds(30);
    agent.worker.ignore_stops = true;
    context.run_for(std::chrono::milliseconds(100));
    entry.accept();
    entry.send(0);
    REQUIRE(run_until(
        context, [&] { return agent.worker.active() == 1; }, absl::Milliseconds(300)));
    entry.send();
    context.run_for(std::chrono::milliseconds(20));
    const absl::Time last_contact = boot_now();
    entry.close();
    block_loop(absl::Milliseconds(600));
    REQUIRE(run_until(
        context, [&] { return agent.worker.active() == 0; }, absl::Seconds(4)));
    CHECK(agent.worker.has_ended(run_end_kind::lapsed));
    const absl::Duration lifetime = agent.worker.lease_end() - last_contact;
    MESSAGE("run ended ", absl::ToInt64Milliseconds(lifetime), " ms after the last contact");
    CHECK(lifetime <= callers_resend_after);
}

// Guards against a start for one entry that extends the lease of another entry's run. The
// permission of the other entry has ended, but the agent was paused and has not checked it yet.
TEST_CASE("a start after a pause does not extend the lease of a run without permission")
{
    asio::io_context context{1};
    scripted_entry silent;
    scripted_entry other;
    agent_fixture agent(context, "a", "1", silent.address());
    agent.service.add_entries({other.address()});
    agent.worker.run_time = absl::Seconds(30);
    agent.worker.ignore_stops = true;
    context.run_for(std::chrono::milliseconds(100));
    silent.accept();
    other.accept();
    other.send();
    const absl::Time last_contact = boot_now();
    silent.send(0);
    REQUIRE(run_until(
        context, [&] { return agent.worker.active() == 1; }, absl::Milliseconds(300)));
    run_until(
        context, [&] { return boot_now() - last_contact > absl::Milliseconds(300); },
        absl::Seconds(1));
    other.send();
    run_until(
        context, [&] { return boot_now() - last_contact > absl::Milliseconds(480); },
        absl::Seconds(1));
    REQUIRE(agent.worker.stops == 0);
    // The agent reads the rest of the frame first when it resumes.
    other.begin_frame(1);
    context.run_for(std::chrono::milliseconds(5));
    other.end_frame();
    block_loop(absl::Milliseconds(320));
    // The second run ends with the same lease.
    REQUIRE(run_until(
        context, [&] { return agent.worker.active() == 0; }, absl::Seconds(4)));
    CHECK(agent.worker.has_ended(run_end_kind::lapsed));
    const absl::Duration lifetime = agent.worker.lease_end() - last_contact;
    MESSAGE("run ended ", absl::ToInt64Milliseconds(lifetime), " ms after the last contact, ",
            agent.worker.starts, " starts");
    CHECK(lifetime <= callers_resend_after);
}

// Guards against an unsent renewal that revokes the lease of a start order that was sent meanwhile.
// The run would count as lapsed while it goes on.
TEST_CASE("an unsent renewal does not revoke the lease of a start order")
{
    asio::io_context context{1};
    fake_worker worker(context);
    event_log log("a", "mapo");
    worker_lease lease(worker, log);
    const absl::Time decided_at = boot_now();
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            co_await lease.ensure_token(0);
            co_await lease.renew(0, true, absl::ZeroDuration(),
                                 decided_at - absl::Milliseconds(400));
            worker.refuse_connections = true;
            co_await lease.renew(0, true, absl::ZeroDuration(), decided_at + absl::Milliseconds(1));
        },
        asio::detached);
    REQUIRE(run_until(
        context, [&] { return worker.refuse_connections; }, absl::Seconds(1)));
    static_cast<void>(lease.extend_with_order(decided_at));
    context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(lease.has_lapsed(decided_at + lease_time));
}

// Guards against a lease that ends after two lost renewals in a row. Up to three renewals are
// outstanding at a time, and the first renewal after them does not extend the lease if the worker
// counts as silent.
TEST_CASE("two lost renewals in a row end no run of a worker that delays its answers")
{
    asio::io_context context{1};
    delaying_worker worker(context);
    worker.run_time = absl::Seconds(30);
    scripted_entry entry;
    agent_process agent(context, "a", "1", worker, announcement_of("a"), entry.address());
    context.run_for(std::chrono::milliseconds(300));
    entry.accept();
    entry.send(0);
    REQUIRE(run_until(
        context, [&] { return worker.active() == 1; }, absl::Milliseconds(300)));
    const absl::Time lost_from = boot_now() + absl::Milliseconds(300);
    while (boot_now() < lost_from + absl::Seconds(2)) {
        if (worker.lost_renewals == 0 && boot_now() >= lost_from &&
            boot_now() < lost_from + absl::Milliseconds(60)) {
            worker.lost_renewals = 6;
        }
        entry.send();
        context.run_for(std::chrono::milliseconds(50));
    }
    CHECK(worker.lost_renewals == 0);
    CHECK(worker.active() == 1);
    CHECK_FALSE(worker.has_ended(run_end_kind::lapsed));
}
