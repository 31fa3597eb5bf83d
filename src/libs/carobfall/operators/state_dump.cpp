#include "carobfall/operators/state_dump.h"

#include <utility>

namespace carobfall {

void state_dump::add(std::string name, section collect)
{
    const std::lock_guard lock(mutex_);
    sections_[std::move(name)] = std::move(collect);
}

nlohmann::json state_dump::collect() const
{
    std::map<std::string, section> sections;
    {
        // Sections take locks of their own, so they are called after the lock is released.
        const std::lock_guard lock(mutex_);
        sections = sections_;
    }
    nlohmann::json dump = nlohmann::json::object();
    for (const auto& [name, collect] : sections) {
        try {
            dump[name] = collect();
        } catch (const std::exception& problem) {
            dump[name] = {{"error", problem.what()}};
        }
    }
    return dump;
}

} // namespace carobfall
