#include "carobfall/config/deadline_bound.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace carobfall {
namespace {

using nlohmann::json;

// Limits the row of an account whose longest deadline is changed repeatedly.
constexpr std::size_t max_held = 16;

std::int64_t whole_milliseconds(absl::Duration duration)
{
    return absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
}

} // namespace

absl::Duration deadline_bound::at(std::string_view region, absl::Time now) const
{
    absl::Duration bound = longest;
    for (const auto& [value, ends] : held) {
        const auto end = ends.find(region);
        if (end == ends.end() || now < end->second) {
            bound = std::max(bound, value);
        }
    }
    return bound;
}

bool deadline_bound::is_unconfirmed(std::string_view region) const
{
    return std::any_of(held.begin(), held.end(),
                       [&](const auto& earlier) { return !earlier.second.contains(region); });
}

deadline_bound changed_bound(deadline_bound stored, absl::Duration longest_before,
                             absl::Duration longest_after)
{
    const absl::Duration before = std::max(stored.longest, longest_before);
    stored.longest = longest_after;
    if (longest_after < before) {
        stored.held[before].clear();
    }
    stored.held.erase(stored.held.begin(), stored.held.upper_bound(longest_after));
    while (stored.held.size() > max_held) {
        // The next longer value replaces the shortest one.
        stored.held.erase(stored.held.begin());
        stored.held.begin()->second.clear();
    }
    return stored;
}

deadline_bound confirmed_bound(deadline_bound stored, const std::string& region, absl::Time now)
{
    for (auto& [value, ends] : stored.held) {
        ends.try_emplace(region, now + value + record_retention);
    }
    return stored;
}

std::string deadline_bound_key(std::string_view account)
{
    return absl::StrCat(to_absl(deadline_bound_prefix), to_absl(account));
}

std::string encode_bound(const deadline_bound& bound)
{
    json held = json::array();
    for (const auto& [value, ends] : bound.held) {
        json until = json::object();
        for (const auto& [region, end] : ends) {
            until[region] = absl::ToUnixMillis(end);
        }
        held.push_back({{"max_deadline_ms", whole_milliseconds(value)}, {"until_ms", until}});
    }
    return json{{"max_deadline_ms", whole_milliseconds(bound.longest)}, {"held", held}}.dump();
}

result<deadline_bound> decode_bound(const std::string& text)
{
    try {
        const json value = json::parse(text);
        deadline_bound bound;
        bound.longest = absl::Milliseconds(value.at("max_deadline_ms").get<std::int64_t>());
        for (const json& earlier : value.at("held")) {
            auto& ends =
                bound.held[absl::Milliseconds(earlier.at("max_deadline_ms").get<std::int64_t>())];
            for (const auto& [region, end] : earlier.at("until_ms").items()) {
                ends[region] = absl::FromUnixMillis(end.get<std::int64_t>());
            }
        }
        return bound;
    } catch (const json::exception&) {
        return failure(error_kind::invalid_request, "the deadline bound is not readable",
                       "restore the row from a dump");
    }
}

} // namespace carobfall
