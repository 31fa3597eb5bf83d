#include "carobfall/jobs/entry_link_set.h"

#include "carobfall/base/spawn.h"
#include "carobfall/jobs/entry_selection.h"

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// A link to an entry that is no longer selected is kept for this long. After a mass restart the
// entries that replaced others are needed until the others are back for good.
constexpr absl::Duration deselected_link_retention = absl::Seconds(5);
// Time without tasks after which a link that takes no orders ends. The entry has received the
// notice by then, and the agent has received the orders that were sent before it.
constexpr absl::Duration idle_time_before_end = absl::Seconds(1);

} // namespace

entry_link_set::entry_link_set(const asio::any_io_executor& executor, std::string agent,
                               entry_link::hooks handlers)
    : executor_(executor), agent_(std::move(agent)), hooks_(std::move(handlers))
{
    hooks_.new_session = [this] { return ++last_session_; };
}

void entry_link_set::add(const std::vector<std::string>& addresses, absl::Time now)
{
    bool added = false;
    for (const std::string& address : addresses) {
        if (addresses_.record(address, now)) {
            entries_[address].rank = entry_rank(agent_, address);
            added = true;
        }
    }
    if (!added) {
        return;
    }
    const std::vector<bool> selected = select(now);
    std::size_t position = 0;
    for (auto& [address, entry] : entries_) {
        if (selected[position++]) {
            ensure_linked(address, entry, now);
        }
    }
}

std::vector<std::string> entry_link_set::remove_expired(absl::Time now)
{
    for_each_open([&](const entry_link& link) { addresses_.record(link.address(), now); });
    std::vector<std::string> expired = addresses_.remove_expired(now);
    for (const std::string& address : expired) {
        const auto entry = entries_.find(address);
        if (entry->second.link) {
            entry->second.link->stop();
        }
        entries_.erase(entry);
    }
    return expired;
}

std::vector<bool> entry_link_set::select(absl::Time now) const
{
    std::vector<entry_candidate> candidates;
    candidates.reserve(entries_.size());
    for (const auto& [address, entry] : entries_) {
        candidates.push_back(
            {entry.rank, entry.link ? std::optional(entry.link->last_contact()) : std::nullopt});
    }
    return select_entries(candidates, max_entry_links, now);
}

void entry_link_set::ensure_linked(const std::string& address, known_entry& entry, absl::Time now)
{
    entry.deselected_at = absl::InfiniteFuture();
    if (entry.link) {
        entry.link->set_takes_orders(true);
        return;
    }
    entry.link = std::make_shared<entry_link>(executor_, address, hooks_, now);
    spawn(executor_, entry.link->run());
}

void entry_link_set::retire(known_entry& entry, absl::Time now, const task_check& has_tasks)
{
    entry.deselected_at = std::min(entry.deselected_at, now);
    entry_link& link = *entry.link;
    if (link.is_open()) {
        if (now - entry.deselected_at < deselected_link_retention) {
            return;
        }
        if (link.takes_orders() || has_tasks(link.session())) {
            link.set_takes_orders(false);
            entry.idle_since = now;
        }
        if (now - entry.idle_since < idle_time_before_end) {
            return;
        }
    }
    link.stop();
    entry.link.reset();
}

void entry_link_set::update_selection(absl::Time now, const task_check& has_tasks)
{
    const std::vector<bool> selected = select(now);
    std::size_t position = 0;
    for (auto& [address, entry] : entries_) {
        if (selected[position++]) {
            ensure_linked(address, entry, now);
        } else if (entry.link) {
            retire(entry, now, has_tasks);
        }
    }
}

void entry_link_set::for_each_open(const std::function<void(entry_link&)>& visit) const
{
    for (const auto& [address, entry] : entries_) {
        if (entry.link && entry.link->is_open()) {
            visit(*entry.link);
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
    for (const auto& [address, entry] : entries_) {
        if (session != 0 && entry.link && entry.link->session() == session) {
            return entry.link.get();
        }
    }
    return nullptr;
}

} // namespace carobfall
