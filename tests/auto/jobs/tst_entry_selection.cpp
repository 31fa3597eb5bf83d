#include "carobfall/jobs/entry_selection.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr std::size_t data_centre_count = 6;

/// The fleet of the load pattern: entries and agents in six data centres.
struct fleet_size {
    std::size_t entries{35};
    std::size_t agents{160};
};

std::vector<entry_candidate> candidates_of(std::size_t agent, std::size_t entries)
{
    std::vector<entry_candidate> candidates;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        candidates.push_back(
            {entry_rank(absl::StrCat("agent-", agent), absl::StrCat("10.0.", entry, ".1:7340")),
             std::nullopt});
    }
    return candidates;
}

std::vector<bool> select(const std::vector<entry_candidate>& candidates, absl::Time now = start)
{
    return select_entries(candidates, max_entry_links, now);
}

std::size_t count(const std::vector<bool>& selected)
{
    return static_cast<std::size_t>(std::count(selected.begin(), selected.end(), true));
}

} // namespace

TEST_CASE("an agent is linked to all entries while there are few")
{
    CHECK(count(select(candidates_of(1, 4))) == 4);
    CHECK(count(select(candidates_of(1, max_entry_links))) == max_entry_links);
    CHECK(select({}).empty());
}

// Load pattern: hundreds of agents and dozens of entries. Guards against links that grow with
// entries times agents, and against an entry without enough agents in a data centre.
TEST_CASE("each agent has a bounded number of links and each entry agents in every data centre")
{
    for (const fleet_size fleet : {fleet_size{}, fleet_size{95, 205}, fleet_size{263, 1800}}) {
        std::vector<std::size_t> agents_of(fleet.entries);
        std::vector<std::set<std::size_t>> data_centres_of(fleet.entries);
        for (std::size_t agent = 0; agent < fleet.agents; ++agent) {
            const std::vector<bool> selected = select(candidates_of(agent, fleet.entries));
            CHECK(count(selected) == max_entry_links);
            for (std::size_t entry = 0; entry < fleet.entries; ++entry) {
                agents_of[entry] += selected[entry] ? 1 : 0;
                if (selected[entry]) {
                    data_centres_of[entry].insert(agent % data_centre_count);
                }
            }
        }
        const std::size_t mean = fleet.agents * max_entry_links / fleet.entries;
        CHECK(*std::min_element(agents_of.begin(), agents_of.end()) >= mean / 2);
        CHECK(*std::max_element(agents_of.begin(), agents_of.end()) <= 2 * mean);
        for (const std::set<std::size_t>& data_centres : data_centres_of) {
            CHECK(data_centres.size() >= data_centre_count - 1);
        }
    }
}

// Guards against an agent that serves fewer entries for as long as some are lost, for example with
// their data centre.
TEST_CASE("entries that are out of contact are replaced until they are back")
{
    std::vector<entry_candidate> candidates = candidates_of(1, 35);
    const std::vector<bool> before = select(candidates);
    std::size_t lost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (before[i]) {
            candidates[i].last_contact = lost++ < 3 ? start : start + entry_contact_timeout;
        }
    }
    const absl::Time short_absence = start + entry_contact_timeout - absl::Milliseconds(1);
    CHECK(select(candidates, short_absence) == before);
    const std::vector<bool> replaced = select(candidates, start + entry_contact_timeout);
    CHECK(count(replaced) == max_entry_links + 3);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        CHECK((replaced[i] || !before[i]));
        if (candidates[i].last_contact) {
            candidates[i].last_contact = start + entry_contact_timeout;
        }
    }
    CHECK(select(candidates, start + entry_contact_timeout) == before);
}

// Load pattern: all entries are lost at once and return one after the other.
TEST_CASE("an agent tries all entries while it is in contact with none")
{
    std::vector<entry_candidate> candidates = candidates_of(1, 35);
    for (entry_candidate& candidate : candidates) {
        candidate.last_contact = start;
    }
    CHECK(count(select(candidates, start + entry_contact_timeout)) == candidates.size());
}

// Guards against a new entry that moves the links of the whole fleet.
TEST_CASE("a new entry replaces at most one link of an agent")
{
    std::size_t linked = 0;
    for (std::size_t agent = 0; agent < fleet_size{}.agents; ++agent) {
        const std::vector<bool> before = select(candidates_of(agent, 35));
        const std::vector<bool> after = select(candidates_of(agent, 36));
        std::size_t ended = 0;
        for (std::size_t entry = 0; entry < before.size(); ++entry) {
            CHECK((before[entry] || !after[entry]));
            ended += before[entry] && !after[entry] ? 1 : 0;
        }
        CHECK(ended == (after.back() ? 1 : 0));
        linked += after.back() ? 1 : 0;
    }
    CHECK(linked >= 27);
}
