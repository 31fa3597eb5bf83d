#include "carobfall/config/deadline_bound.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace carobfall {
namespace {

using nlohmann::json;

// Limits the size of the row when the longest deadline of an account changes repeatedly.
constexpr std::size_t max_earlier_values = 16;

std::int64_t whole_milliseconds(absl::Duration duration)
{
    return absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
}

} // namespace

absl::Duration deadline_bound::at(std::string_view region, absl::Time now) const
{
    absl::Duration bound = longest;
    for (const auto& [value, ends] : earlier_values) {
        const auto end = ends.find(region);
        if (end == ends.end() || now < end->second) {
            bound = std::max(bound, value);
        }
    }
    return bound;
}

bool deadline_bound::is_unconfirmed(std::string_view region) const
{
    return std::any_of(earlier_values.begin(), earlier_values.end(),
                       [&](const auto& earlier) { return !earlier.second.contains(region); });
}

deadline_bound changed_bound(deadline_bound stored, absl::Duration old_longest,
                             absl::Duration new_longest)
{
    const absl::Duration before = std::max(stored.longest, old_longest);
    stored.longest = new_longest;
    if (new_longest < before) {
        stored.earlier_values[before].clear();
    }
    stored.earlier_values.erase(stored.earlier_values.begin(),
                                stored.earlier_values.upper_bound(new_longest));
    while (stored.earlier_values.size() > max_earlier_values) {
        // Without the shortest value, the next longer one applies in its place, without end.
        stored.earlier_values.erase(stored.earlier_values.begin());
        stored.earlier_values.begin()->second.clear();
    }
    return stored;
}

deadline_bound confirmed_bound(deadline_bound stored, const std::string& region, absl::Time now)
{
    for (auto& [value, ends] : stored.earlier_values) {
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
    json earlier_values = json::array();
    for (const auto& [value, ends] : bound.earlier_values) {
        json until = json::object();
        for (const auto& [region, end] : ends) {
            until[region] = absl::ToUnixMillis(end);
        }
        earlier_values.push_back(
            {{"max_deadline_ms", whole_milliseconds(value)}, {"until_ms", until}});
    }
    return json{{"max_deadline_ms", whole_milliseconds(bound.longest)}, {"held", earlier_values}}
        .dump();
}

result<deadline_bound> decode_bound(const std::string& text)
{
    try {
        const json value = json::parse(text);
        deadline_bound bound;
        bound.longest = absl::Milliseconds(value.at("max_deadline_ms").get<std::int64_t>());
        for (const json& earlier : value.at("held")) {
            auto& ends = bound.earlier_values[absl::Milliseconds(
                earlier.at("max_deadline_ms").get<std::int64_t>())];
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
