#include "carobfall/entry/configuration_log.h"

namespace carobfall {
namespace {

// The changes of one day, at 800 a day; an entry that has missed more receives a snapshot.
constexpr std::size_t max_recent_changes = 800;

} // namespace

rpc::push_configuration_request
configuration_log::applicable_changes(const rpc::push_configuration_request& push) const
{
    rpc::push_configuration_request applicable;
    if (push.version() <= version_) {
        return applicable;
    }
    if (push.snapshot()) {
        return push;
    }
    std::uint64_t next = version_ + 1;
    for (const rpc::configuration_change& change : push.changes()) {
        if (change.version() == next) {
            *applicable.add_changes() = change;
            applicable.set_version(next++);
        }
    }
    return applicable;
}

void configuration_log::append(const rpc::push_configuration_request& applicable)
{
    if (applicable.snapshot()) {
        latest_.clear();
        recent_.clear();
    }
    for (const rpc::configuration_change& change : applicable.changes()) {
        if (change.deleted()) {
            latest_.erase(change.key());
        } else {
            latest_[change.key()] = change;
        }
        if (!applicable.snapshot()) {
            recent_.push_back(change);
        }
    }
    while (recent_.size() > max_recent_changes) {
        recent_.pop_front();
    }
    version_ = applicable.version();
}

rpc::push_configuration_request configuration_log::since(std::uint64_t version) const
{
    rpc::push_configuration_request push;
    push.set_version(version_);
    if (version >= version_) {
        return push;
    }
    if (!recent_.empty() && recent_.front().version() <= version + 1) {
        for (const rpc::configuration_change& change : recent_) {
            if (change.version() > version) {
                *push.add_changes() = change;
            }
        }
        return push;
    }
    push.set_snapshot(true);
    for (const auto& [key, change] : latest_) {
        *push.add_changes() = change;
    }
    return push;
}

} // namespace carobfall
