#include "carobfall/jobs/entry_link_set.h"

#include "carobfall/base/spawn.h"

#include <utility>

namespace carobfall {

namespace asio = boost::asio;

entry_link_set::entry_link_set(const asio::any_io_executor& executor, entry_link::hooks handlers)
    : executor_(executor), hooks_(std::move(handlers))
{
    hooks_.new_session = [this] { return ++last_session_; };
}

void entry_link_set::add(const std::vector<std::string>& addresses, absl::Time now)
{
    for (const std::string& address : addresses) {
        if (addresses_.record(address, now)) {
            auto link = std::make_shared<entry_link>(executor_, address, hooks_);
            links_.emplace(address, link);
            spawn(executor_, link->run());
        }
    }
}

std::vector<std::string> entry_link_set::remove_expired(absl::Time now)
{
    for_each_open([&](const entry_link& link) { addresses_.record(link.address(), now); });
    std::vector<std::string> expired = addresses_.remove_expired(now);
    for (const std::string& address : expired) {
        links_.at(address)->stop();
        links_.erase(address);
    }
    return expired;
}

void entry_link_set::for_each_open(const std::function<void(entry_link&)>& visit) const
{
    for (const auto& [address, link] : links_) {
        if (link->is_open()) {
            visit(*link);
        }
    }
}

std::vector<std::string> entry_link_set::open_addresses() const
{
    std::vector<std::string> addresses;
    for_each_open([&](const entry_link& link) { addresses.push_back(link.address()); });
    return addresses;
}

std::size_t entry_link_set::open_count() const
{
    std::size_t count = 0;
    for_each_open([&](const entry_link&) { ++count; });
    return count;
}

entry_link* entry_link_set::find(session_number session) const
{
    for (const auto& [address, link] : links_) {
        if (session != 0 && link->session() == session) {
            return link.get();
        }
    }
    return nullptr;
}

} // namespace carobfall
