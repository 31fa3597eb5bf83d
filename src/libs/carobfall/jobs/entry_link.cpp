#include "carobfall/jobs/entry_link.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/fleet/endpoint.h"
#include "carobfall/jobs/run_bounds.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// A connection within a region is established within some milliseconds. A machine without power
// does not answer.
constexpr absl::Duration connect_timeout = absl::Milliseconds(150);
// A restarted entry listens again within some hundred milliseconds, and its callers return at once.
constexpr absl::Duration short_absence = absl::Seconds(5);
constexpr absl::Duration short_reconnect_delay = absl::Milliseconds(50);
constexpr absl::Duration reconnect_delay = absl::Milliseconds(250);
// An entry that has been unreachable for this long has probably been replaced at another address.
constexpr absl::Duration long_absence = absl::Seconds(30);
constexpr absl::Duration long_reconnect_delay = absl::Seconds(2);

absl::Duration reconnect_delay_after(absl::Duration unreachable_for)
{
    if (unreachable_for > long_absence) {
        return long_reconnect_delay;
    }
    return unreachable_for > short_absence ? reconnect_delay : short_reconnect_delay;
}

} // namespace

entry_link::entry_link(const asio::any_io_executor& executor, std::string address, hooks handlers,
                       absl::Time now)
    : executor_(executor),
      address_(std::move(address)),
      hooks_(std::move(handlers)),
      last_contact_(now)
{}

asio::awaitable<bool> entry_link::connect(asio::ip::tcp::socket& socket)
{
    const std::optional<asio::ip::tcp::endpoint> endpoint = parse_endpoint(address_);
    if (!endpoint) {
        co_return false;
    }
    asio::steady_timer timeout(executor_, timer_duration(connect_timeout));
    timeout.async_wait([&socket](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored; // a socket that can't be closed isn't connected
            socket.close(ignored);
        }
    });
    boost::system::error_code error;
    co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    timeout.cancel();
    co_return !error && socket.is_open();
}

asio::awaitable<void> entry_link::read_frames()
{
    const std::shared_ptr<frame_channel> channel = channel_;
    fleet::entry_frame frame;
    while (co_await channel->read(frame)) {
        permitted_until_ =
            std::max(permitted_until_, absl::FromUnixMicros(frame.echo_us()) + entry_permission);
        entry_name_ = frame.entry();
        last_contact_ = boot_now();
        orders_received_ += static_cast<std::uint64_t>(frame.orders_size());
        hooks_.on_frame(*this, frame);
    }
}

asio::awaitable<void> entry_link::run()
{
    const std::shared_ptr<entry_link> self = shared_from_this();
    const absl::Time started_at = boot_now();
    while (!stopped_) {
        asio::ip::tcp::socket socket(executor_);
        if (co_await connect(socket) && !stopped_) {
            channel_ = open_frame_channel(std::move(socket));
            const absl::Time now = boot_now();
            session_ = hooks_.new_session();
            orders_received_ = 0;
            description_sent_ = 0;
            last_connected_ = now;
            permitted_until_ = now + entry_permission;
            hooks_.on_open(*this);
            co_await read_frames();
            channel_->close();
            last_connected_ = boot_now();
            hooks_.on_closed(std::exchange(session_, 0), permitted_until_);
        }
        if (stopped_) {
            break;
        }
        const absl::Duration unreachable_for = boot_now() - std::max(last_connected_, started_at);
        asio::steady_timer pause(executor_, timer_duration(reconnect_delay_after(unreachable_for)));
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void entry_link::stop()
{
    stopped_ = true;
    close();
}

void entry_link::send(fleet::agent_frame& frame, absl::Time now)
{
    if (!is_open()) {
        return;
    }
    frame.set_sent_us(absl::ToUnixMicros(now));
    channel_->send(frame);
    last_sent_ = now;
}

bool entry_link::close()
{
    if (!channel_ || !channel_->is_open()) {
        return false;
    }
    channel_->close();
    return true;
}

} // namespace carobfall
