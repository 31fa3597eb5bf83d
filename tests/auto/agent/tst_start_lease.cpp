#include "carobfall/agent/start_lease.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time t0 = absl::FromUnixSeconds(1'800'000'000);

rpc::beat_reply reply_of(absl::Time sent, std::uint64_t version, std::uint32_t lease_ms = 2000)
{
    rpc::beat_reply reply;
    reply.set_send_time_us(absl::ToUnixMicros(sent));
    reply.set_lease_ms(lease_ms);
    reply.set_configuration_version(version);
    reply.set_registered(true);
    return reply;
}

} // namespace

// Guards against a lease that counts from the arrival of the reply, which a pause of the process
// delays.
TEST_CASE("validity counts from the send time of the heartbeat and is at most two seconds")
{
    start_lease lease;
    CHECK_FALSE(lease.is_valid(t0));
    CHECK(lease.renew(reply_of(t0, 1, 60'000), t0));
    CHECK(lease.is_valid(t0 + absl::Milliseconds(1999)));
    CHECK_FALSE(lease.is_valid(t0 + absl::Seconds(2)));
}

// Guards against a reply to an earlier heartbeat that shortens or extends the lease.
TEST_CASE("replies out of order or to another heartbeat don't change the lease")
{
    start_lease lease;
    lease.renew(reply_of(t0 + absl::Seconds(1), 1), t0 + absl::Seconds(1));
    CHECK_FALSE(lease.renew(reply_of(t0, 1), t0));
    CHECK(lease.valid_until() == t0 + absl::Seconds(3));
    CHECK_FALSE(lease.renew(reply_of(t0, 1), t0 + absl::Seconds(5)));
    CHECK(lease.valid_until() == t0 + absl::Seconds(3));
}

// A data centre was taken out of service. Guards against the return to service by the reply of an
// entry that still has the older configuration.
TEST_CASE("a reply with a lower configuration version is ignored")
{
    start_lease lease;
    rpc::beat_reply out = reply_of(t0, 7, 0);
    out.add_data_centres_out("mapo");
    CHECK_FALSE(lease.renew(out, t0));
    CHECK(lease.is_out("mapo"));
    CHECK_FALSE(lease.renew(reply_of(t0, 6), t0));
    CHECK(lease.is_out("mapo"));
    CHECK_FALSE(lease.is_valid(t0));
    // An entry omits the list if the agent already has this version.
    CHECK(lease.renew(reply_of(t0, 7), t0));
    CHECK(lease.is_out("mapo"));
    CHECK(lease.renew(reply_of(t0 + absl::Seconds(1), 8), t0 + absl::Seconds(1)));
    CHECK_FALSE(lease.is_out("mapo"));
}

// Guards against starts by an agent whose registration isn't recorded.
TEST_CASE("an agent that isn't registered gets no lease")
{
    start_lease lease;
    rpc::beat_reply reply = reply_of(t0, 1);
    reply.set_registered(false);
    CHECK_FALSE(lease.renew(reply, t0));
    CHECK_FALSE(lease.is_valid(t0));
}
