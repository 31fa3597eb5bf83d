#pragma once

#include "carobfall/entry/entry_channel.h"

namespace carobfall::testing {

/// Channel whose calls all fail with `unavailable`. Fakes override the calls that they handle.
class unreachable_entry : public entry_channel {
public:
    using timeout = absl::Duration;
    result<rpc::forward_reply> forward(const rpc::forward_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::submission_answer> status(const rpc::status_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::submission_answer> cancel(const rpc::cancel_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::claim_reply> claim_submission(const rpc::claim_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::fetch_claims_reply> fetch_claims(const rpc::fetch_claims_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::prepare_view_reply> prepare_view(const rpc::prepare_view_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::activate_view_reply> activate_view(const rpc::activate_view_request&,
                                                   timeout) override
    {
        return unreachable();
    }
    result<rpc::entry_beat_reply> entry_beat(const rpc::entry_beat_request&, timeout) override
    {
        return unreachable();
    }
    result<rpc::push_configuration_reply> push_configuration(const rpc::push_configuration_request&,
                                                             timeout) override
    {
        return unreachable();
    }
    result<rpc::retry_now_reply> retry_now(const rpc::retry_now_request&, timeout) override
    {
        return unreachable();
    }

protected:
    static boost::outcome_v2::failure_type<error> unreachable()
    {
        return failure(error_kind::unavailable, "no connection", "wait");
    }
};

} // namespace carobfall::testing
