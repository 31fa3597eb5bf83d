#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>

namespace carobfall {

/// RPC interface to one other entry. Implementations are thread-safe and block for at most
/// `timeout`.
///
/// Errors: `unavailable` if the call had no effect, `outcome_unknown` if its reply was lost.
class entry_channel {
public:
    virtual ~entry_channel() = default;

    virtual result<rpc::forward_reply> forward(const rpc::forward_request& request,
                                               absl::Duration timeout) = 0;
    virtual result<rpc::submission_answer> status(const rpc::status_request& request,
                                                  absl::Duration timeout) = 0;
    virtual result<rpc::submission_answer> cancel(const rpc::cancel_request& request,
                                                  absl::Duration timeout) = 0;
    virtual result<rpc::claim_reply> claim_submission(const rpc::claim_request& request,
                                                      absl::Duration timeout) = 0;
    virtual result<rpc::fetch_claims_reply> fetch_claims(const rpc::fetch_claims_request& request,
                                                         absl::Duration timeout) = 0;
    virtual result<rpc::prepare_view_reply> prepare_view(const rpc::prepare_view_request& request,
                                                         absl::Duration timeout) = 0;
    virtual result<rpc::activate_view_reply>
    activate_view(const rpc::activate_view_request& request, absl::Duration timeout) = 0;
    virtual result<rpc::entry_beat_reply> entry_beat(const rpc::entry_beat_request& request,
                                                     absl::Duration timeout) = 0;
    virtual result<rpc::push_configuration_reply>
    push_configuration(const rpc::push_configuration_request& request, absl::Duration timeout) = 0;
    virtual result<rpc::retry_now_reply> retry_now(const rpc::retry_now_request& request,
                                                   absl::Duration timeout) = 0;
};

/// Returns the channel to a member.
using entry_channel_factory =
    std::function<std::shared_ptr<entry_channel>(const rpc::entry_member& member)>;

} // namespace carobfall
