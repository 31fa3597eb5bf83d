#include "carobfall/jobs/entry_service.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/tcp_listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// An agent without a frame for this long is lost; agents send one each 100 ms.
constexpr absl::Duration agent_silence_limit = absl::Milliseconds(500);
constexpr absl::Duration watch_interval = absl::Milliseconds(25);
// Kinds of workers differ by up to 1.3 in speed, and run times of jobs average out.
constexpr double slow_worker = 2;

resource_amounts amounts_of(const fleet::room& room)
{
    return {room.cpu_millicores(), room.memory_mib(), room.accelerators()};
}

void count_order(agent_view& view, const resource_amounts& demand, double core_ms)
{
    if (view.waiting_core_ms <= 0 && demand.fits_into(view.free)) {
        view.free -= demand;
    } else {
        view.waiting_core_ms += core_ms;
    }
}

} // namespace

entry_service::entry_service(const asio::any_io_executor& executor, std::string name,
                             std::string address, operator_view& operators, event_log& log,
                             metrics_registry& metrics)
    : executor_(executor),
      name_(std::move(name)),
      operators_(operators),
      log_(log),
      metrics_(metrics),
      entries_{std::move(address)}
{
    operators_.on_change([this] {
        refresh_usable();
        post_flush();
    });
}

void entry_service::start(const asio::ip::tcp::endpoint& address)
{
    serve_connections(
        executor_, address,
        [this](asio::ip::tcp::socket socket) { return serve(std::move(socket)); },
        [this](const boost::system::error_code& error) {
            log_.write(log_fields("accept_failed").add("error", error.message()), boot_now());
        });
    asio::co_spawn(
        executor_, [this]() -> asio::awaitable<void> { co_await watch_time(); }, asio::detached);
}

void entry_service::learn_entries(const std::vector<std::string>& addresses)
{
    entries_.insert(addresses.begin(), addresses.end());
}

asio::awaitable<void> entry_service::serve(asio::ip::tcp::socket socket)
{
    auto peer = std::make_shared<connection>();
    peer->channel = open_frame_channel(std::move(socket));
    fleet::agent_frame frame;
    while (co_await peer->channel->read(frame)) {
        take_frame(peer, frame);
    }
    peer->channel->close();
    const auto known = agents_.find(peer->status.name());
    if (known != agents_.end() && known->second == peer) {
        lose(peer->status.name(), "connection_ended");
    }
}

void entry_service::take_frame(const std::shared_ptr<connection>& peer, fleet::agent_frame& frame)
{
    const absl::Time now = boot_now();
    peer->last_heard = now;
    peer->echo_us = std::max(peer->echo_us, frame.sent_us());
    peer->operator_version = std::max(peer->operator_version, frame.operator_version());
    if (frame.has_state() && operators_.adopt(std::move(*frame.mutable_state()))) {
        log_.write(operators_.adopted_from(peer->status.name()), now);
    }
    for (const std::string& address : frame.entries()) {
        entries_.insert(address);
    }
    for (const fleet::task_event& event : frame.events()) {
        hooks_.on_event(peer->status.name(), event);
    }
    if (!frame.has_status() || frame.status().name().empty()) {
        return;
    }
    const std::string& name = frame.status().name();
    const auto known = agents_.find(name);
    if (known == agents_.end() || known->second != peer) {
        if (known != agents_.end()) {
            lose(std::string(name), "connected_again");
        }
        log_.write(log_fields("agent_connected")
                       .add("agent", name)
                       .add("incarnation", frame.status().incarnation()),
                   now);
        agents_[name] = peer;
        post_flush();
    }
    adopt_status(*peer, std::move(*frame.mutable_status()));
}

void entry_service::adopt_status(connection& peer, fleet::agent_status status)
{
    const bool accepts_now = status.accepting() && !peer.status.accepting();
    peer.status = std::move(status);
    while (!peer.unreported.empty() &&
           peer.unreported.front().number <= peer.status.orders_received()) {
        peer.unreported.pop_front();
    }
    refresh_view(peer);
    if (accepts_now) {
        log_.write(log_fields("agent_accepts").add("agent", peer.status.name()), boot_now());
        hooks_.on_settled(peer.status.name());
    }
}

void entry_service::refresh_view(const connection& peer)
{
    const fleet::agent_status& status = peer.status;
    auto view = std::find_if(views_.begin(), views_.end(), [&](const agent_view& candidate) {
        return candidate.name == status.name();
    });
    if (view == views_.end()) {
        view = views_.emplace(views_.end());
        view->name = status.name();
    }
    view->data_centre = status.data_centre();
    view->rack = status.rack();
    if (view->labels.size() != static_cast<std::size_t>(status.labels_size())) {
        view->labels.assign(status.labels().begin(), status.labels().end());
    }
    view->service = status.service();
    view->usable = status.accepting() && !operators_.is_out(status.data_centre());
    view->capacity = amounts_of(status.capacity());
    view->free = amounts_of(status.free());
    view->waiting_core_ms = static_cast<double>(status.waiting_core_ms());
    view->urgent_core_ms = static_cast<double>(status.urgent_core_ms());
    view->failure_share = static_cast<double>(status.failure_percent()) / 100;
    view->slowness = std::max<double>(status.slowness_percent(), 1) / 100;
    for (const sent_order& order : peer.unreported) {
        count_order(*view, order.demand, order.core_ms);
    }
}

void entry_service::refresh_usable()
{
    for (const auto& [name, peer] : agents_) {
        refresh_view(*peer);
    }
}

std::size_t entry_service::usable_agents() const
{
    return static_cast<std::size_t>(std::count_if(
        views_.begin(), views_.end(), [](const agent_view& view) { return view.usable; }));
}

absl::Duration entry_service::oldest_report(absl::Time now) const
{
    absl::Duration oldest;
    for (const auto& [name, peer] : agents_) {
        oldest = std::max(oldest, now - peer->last_heard);
    }
    return oldest;
}

bool entry_service::is_slow(const std::string& agent) const
{
    return std::any_of(views_.begin(), views_.end(), [&](const agent_view& view) {
        return view.name == agent && view.slowness > slow_worker;
    });
}

void entry_service::lose(const std::string& agent, const std::string& reason)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return;
    }
    const std::shared_ptr<connection> peer = found->second;
    agents_.erase(found);
    peer->channel->close();
    std::erase_if(views_, [&](const agent_view& view) { return view.name == agent; });
    const absl::Time now = boot_now();
    log_.write(log_fields("agent_lost")
                   .add("agent", agent)
                   .add("reason", reason)
                   .add("last_heard_ms_ago", absl::ToInt64Milliseconds(now - peer->last_heard)),
               now);
    metrics_.add("agents_lost_total");
    hooks_.on_lost(agent, peer->last_heard);
}

bool entry_service::order(const std::string& agent, fleet::task_order task)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return false;
    }
    connection& peer = *found->second;
    sent_order sent;
    sent.number = ++peer.orders_sent;
    sent.demand = {task.cpu_millicores(), task.memory_mib(), task.accelerators()};
    sent.core_ms = static_cast<double>(task.cpu_millicores()) * task.expected_run_ms() / 1000;
    const auto view = std::find_if(views_.begin(), views_.end(), [&](const agent_view& candidate) {
        return candidate.name == agent;
    });
    if (view != views_.end()) {
        count_order(*view, sent.demand, sent.core_ms);
    }
    peer.unreported.push_back(sent);
    *peer.pending.add_orders() = std::move(task);
    peer.has_pending = true;
    post_flush();
    return true;
}

void entry_service::stop(const std::string& agent, fleet::task_stop task)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return; // the agent stops the runs of an entry that it has lost
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
        if (peer->has_pending || peer->operator_version < operators_.version() ||
            peer->entries_told < entries_.size() || now - peer->last_sent >= link_frame_interval) {
            send(*peer, now);
        }
    }
}

void entry_service::send(connection& peer, absl::Time now)
{
    fleet::entry_frame& frame = peer.pending;
    frame.set_echo_us(peer.echo_us);
    frame.set_entry(name_);
    frame.set_operator_version(operators_.version());
    if (peer.operator_version < operators_.version()) {
        *frame.mutable_state() = operators_.state();
        peer.operator_version = operators_.version();
    }
    if (peer.entries_told < entries_.size()) {
        for (const std::string& address : entries_) {
            frame.add_entries(address);
        }
        peer.entries_told = entries_.size();
    }
    peer.channel->send(frame);
    frame.Clear();
    peer.has_pending = false;
    peer.last_sent = now;
}

asio::awaitable<void> entry_service::watch_time()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(timer_duration(watch_interval));
        co_await timer.async_wait(asio::use_awaitable);
        const absl::Time now = boot_now();
        std::vector<std::string> silent;
        for (const auto& [name, peer] : agents_) {
            if (now - peer->last_heard > agent_silence_limit) {
                silent.push_back(name);
            }
        }
        for (const std::string& name : silent) {
            lose(name, "silent");
        }
        flush(now);
        log_.flush();
    }
}

} // namespace carobfall
