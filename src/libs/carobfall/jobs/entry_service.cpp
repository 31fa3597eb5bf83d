#include "carobfall/jobs/entry_service.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/tcp_listener.h"
#include "carobfall/jobs/worker_speed.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// An agent that has sent no frame for this long is lost. Agents send a frame every 100 ms.
constexpr absl::Duration agent_silence_limit = absl::Milliseconds(500);
constexpr absl::Duration check_interval = absl::Milliseconds(25);

} // namespace

entry_service::entry_service(const asio::any_io_executor& executor, std::string name,
                             std::string address, operator_view& operators, event_log& log,
                             metrics_registry& metrics)
    : executor_(executor),
      name_(std::move(name)),
      operators_(operators),
      log_(log),
      metrics_(metrics),
      table_([this](std::string_view data_centre) { return operators_.is_out(data_centre); }),
      state_fetcher_(operators, random_position()),
      state_provider_(operators),
      own_address_(std::move(address))
{
    entries_.record(own_address_, boot_now());
    operators_.on_change([this] { table_.refresh(); });
}

void entry_service::start(const asio::ip::tcp::endpoint& address)
{
    serve_connections(
        executor_, address,
        [this](asio::ip::tcp::socket socket) { return serve(std::move(socket)); },
        log_connection_failures(log_));
    spawn(executor_, run_periodic_checks());
}

void entry_service::add_entries(const std::vector<std::string>& addresses)
{
    const absl::Time now = boot_now();
    entries_.record(own_address_, now);
    for (const std::string& address : addresses) {
        entries_.record(address, now);
    }
    entries_.remove_expired(now);
}

asio::awaitable<void> entry_service::serve(asio::ip::tcp::socket socket)
{
    auto peer = std::make_shared<connection>();
    peer->number = ++last_connection_;
    peer->channel = open_frame_channel(std::move(socket));
    fleet::agent_frame frame;
    while (co_await peer->channel->read(frame)) {
        handle_frame(peer, frame);
    }
    peer->channel->close();
    const auto known = agents_.find(peer->agent);
    if (known != agents_.end() && known->second == peer) {
        drop_agent(std::string(peer->agent), "connection_ended");
    }
}

void entry_service::handle_frame(const std::shared_ptr<connection>& peer, fleet::agent_frame& frame)
{
    const absl::Time now = boot_now();
    peer->last_frame_at = now;
    peer->echo_us = std::max(peer->echo_us, frame.sent_us());
    for (const std::string& address : frame.entries()) {
        entries_.record(address, now);
    }
    for (const fleet::task_event& event : frame.events()) {
        hooks_.on_event(peer->agent, event);
    }
    if (!frame.has_status()) {
        return;
    }
    if (!frame.status().name().empty()) {
        adopt_description(peer, frame.status(), now);
    }
    // Ignores reports on a connection that the agent has replaced by a later one.
    const auto known = agents_.find(peer->agent);
    if (known != agents_.end() && known->second == peer) {
        adopt_status(*peer, frame.status());
        exchange_operator_state(*peer, frame, now);
    }
}

void entry_service::exchange_operator_state(connection& peer, const fleet::agent_frame& frame,
                                            absl::Time now)
{
    state_fetcher_.on_stamp(peer.number, stamp_of(frame), now);
    if (frame.has_wanted_state()) {
        *peer.pending.mutable_state() =
            state_provider_.answer(peer.number, frame.wanted_state(), now);
        peer.has_pending = true;
        count_sent_part(peer.pending.state(), "agent", metrics_);
        post_flush();
    }
    if (frame.has_state()) {
        const state_part_outcome outcome = state_fetcher_.on_part(peer.number, frame.state(), now);
        count_received_part(frame.state(), outcome, "agent", metrics_);
        if (outcome == state_part_outcome::adopted) {
            operators_.record_adoption(peer.agent, log_, metrics_, now);
        }
    }
    request_operator_state(now);
}

void entry_service::request_operator_state(absl::Time now)
{
    const std::optional<state_fetch> fetch = state_fetcher_.next_request(now);
    if (!fetch) {
        return;
    }
    const auto asked = std::find_if(agents_.begin(), agents_.end(), [&](const auto& agent) {
        return agent.second->number == fetch->peer;
    });
    if (asked != agents_.end()) {
        *asked->second->pending.mutable_wanted_state() = fetch->request;
        asked->second->has_pending = true;
        post_flush();
    }
}

void entry_service::adopt_description(const std::shared_ptr<connection>& peer,
                                      const fleet::agent_status& description, absl::Time now)
{
    const std::string& name = description.name();
    const auto known = agents_.find(name);
    if (known == agents_.end() || known->second != peer) {
        if (known != agents_.end()) {
            drop_agent(std::string(name), "connected_again");
        }
        log_.write(log_fields("agent_connected")
                       .add("agent", name)
                       .add("incarnation", description.incarnation()),
                   now);
        peer->agent = name;
        peer->incarnation = description.incarnation();
        agents_[name] = peer;
        post_flush();
    }
    table_.describe(description);
}

void entry_service::adopt_status(connection& peer, const fleet::agent_status& status)
{
    table_.report(peer.agent, status, boot_now());
    if (!std::exchange(peer.accepting, status.accepting()) && peer.accepting) {
        log_.write(log_fields("agent_accepts")
                       .add("agent", peer.agent)
                       .add("incarnation", peer.incarnation),
                   boot_now());
    }
    // Neither a new connection nor `accepting` implies that earlier runs have ended: the worker may
    // leave stop orders unanswered.
    if (!peer.past_runs_gone && status.past_runs_gone()) {
        peer.past_runs_gone = true;
        hooks_.on_past_runs_ended(peer.agent);
    }
}

absl::Duration entry_service::oldest_report(absl::Time now) const
{
    absl::Duration oldest;
    for (const auto& [name, peer] : agents_) {
        oldest = std::max(oldest, now - peer->last_frame_at);
    }
    return oldest;
}

absl::Duration entry_service::report_age(const std::string& agent, absl::Time now) const
{
    const auto found = agents_.find(agent);
    return found == agents_.end() ? absl::InfiniteDuration() : now - found->second->last_frame_at;
}

std::string entry_service::state_text(absl::Time now) const
{
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    for (const agent_view& view : table_.views()) {
        capacity += view.usable ? view.capacity.cpu_millicores : 0;
        free += view.usable ? view.load.free.cpu_millicores : 0;
    }
    return absl::StrCat("connected_agents ", agents_.size(), "\nusable_agents ", usable_agents(),
                        "\ncapacity_millicores ", capacity, "\nfree_millicores ", free,
                        "\noldest_report_ms ", absl::ToInt64Milliseconds(oldest_report(now)), "\n");
}

bool entry_service::is_slow(const std::string& agent) const
{
    const agent_view* view = table_.find(agent);
    return view != nullptr && view->slowness > slow_worker_threshold;
}

void entry_service::drop_agent(const std::string& agent, const std::string& reason)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return;
    }
    const std::shared_ptr<connection> peer = found->second;
    agents_.erase(found);
    peer->channel->close();
    state_fetcher_.on_peer_lost(peer->number);
    state_provider_.on_peer_lost(peer->number);
    table_.remove(agent);
    const absl::Time now = boot_now();
    log_.write(log_fields("agent_lost")
                   .add("agent", agent)
                   .add("incarnation", peer->incarnation)
                   .add("reason", reason)
                   .add("last_heard_ms_ago", absl::ToInt64Milliseconds(now - peer->last_frame_at)),
               now);
    metrics_.add(absl::StrCat("agents_lost_total{reason=\"", reason, "\"}"));
    hooks_.on_lost(agent, peer->last_frame_at);
}

bool entry_service::order(const std::string& agent, fleet::task_order task)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return false;
    }
    connection& peer = *found->second;
    table_.add_order(agent, task);
    *peer.pending.add_orders() = std::move(task);
    peer.has_pending = true;
    post_flush();
    return true;
}

void entry_service::stop(const std::string& agent, fleet::task_stop task)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return; // the agent stops the runs of a lost entry itself
    }
    *found->second->pending.add_stops() = std::move(task);
    found->second->has_pending = true;
    post_flush();
}

void entry_service::post_flush()
{
    if (std::exchange(flush_posted_, true)) {
        return;
    }
    asio::post(executor_, [this] {
        flush_posted_ = false;
        flush(boot_now());
    });
}

void entry_service::flush(absl::Time now)
{
    for (const auto& [name, peer] : agents_) {
        if (peer->has_pending || peer->entries_revision_sent < entries_.revision() ||
            now - peer->last_sent >= link_frame_interval) {
            send(*peer, now);
        }
    }
}

void entry_service::send(connection& peer, absl::Time now)
{
    fleet::entry_frame& frame = peer.pending;
    frame.set_echo_us(peer.echo_us);
    frame.set_entry(name_);
    set_operator_state_stamp(frame, operators_.stamp());
    if (peer.entries_revision_sent < entries_.revision()) {
        for (const std::string& address : entries_.list()) {
            frame.add_entries(address);
        }
        peer.entries_revision_sent = entries_.revision();
    }
    peer.channel->send(frame);
    frame.Clear();
    peer.has_pending = false;
    peer.last_sent = now;
}

asio::awaitable<void> entry_service::run_periodic_checks()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(timer_duration(check_interval));
        co_await timer.async_wait(asio::use_awaitable);
        const absl::Time now = boot_now();
        std::vector<std::string> silent;
        for (const auto& [name, peer] : agents_) {
            if (now - peer->last_frame_at > agent_silence_limit) {
                silent.push_back(name);
            }
        }
        for (const std::string& name : silent) {
            drop_agent(name, "silent");
        }
        request_operator_state(now);
        flush(now);
        log_.flush();
    }
}

} // namespace carobfall
