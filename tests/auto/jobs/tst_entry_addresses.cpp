#include "carobfall/jobs/entry_addresses.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

} // namespace

// Guards against a list that grows with every replaced entry, and against links that try to reach
// replaced entries forever.
TEST_CASE("an address that is no longer recorded is removed")
{
    entry_addresses addresses;
    CHECK(addresses.record("10.0.0.1:7340", start));
    CHECK(addresses.record("10.0.0.2:7340", start));
    const absl::Time later = start + address_retention;
    CHECK_FALSE(addresses.record("10.0.0.2:7340", later));
    CHECK(addresses.remove_expired(later).empty());
    CHECK(addresses.remove_expired(later + absl::Seconds(1)) ==
          std::vector<std::string>{"10.0.0.1:7340"});
    CHECK(addresses.list() == std::vector<std::string>{"10.0.0.2:7340"});
}

// Guards against a new address that is not sent to peers because another address was removed.
TEST_CASE("the revision increases with each new address, also after the removal of another one")
{
    entry_addresses addresses;
    addresses.record("10.0.0.1:7340", start);
    const std::uint64_t before = addresses.revision();
    const absl::Time later = start + 2 * address_retention;
    CHECK(addresses.remove_expired(later).size() == 1);
    CHECK(addresses.record("10.0.0.3:7340", later));
    CHECK(addresses.revision() > before);
    CHECK(addresses.record("10.0.0.1:7340", later));
}
