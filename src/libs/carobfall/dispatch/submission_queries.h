#pragma once

#include "carobfall/dispatch/dispatch_context.h"

#include <absl/time/time.h>

#include <optional>

namespace carobfall {

/// Handles status and cancel requests, which are answered from the records of this entry or by the
/// entry that runs the submission. A request makes at most two hops. Thread-safe.
class submission_queries {
public:
    using submission_result = result<rpc::submission_answer>;

    explicit submission_queries(dispatch_context& context) : context_(context) {}

    /// Answer requests of callers.
    [[nodiscard]] submission_result status(const submission_key& key, absl::Time now) const;
    [[nodiscard]] submission_result cancel(const submission_key& key, absl::Time now) const;
    /// Answer requests of other entries. Requests with `passed_on` are not forwarded again.
    [[nodiscard]] submission_result status_forwarded(const rpc::status_request& request,
                                                     absl::Time now) const;
    [[nodiscard]] submission_result cancel_forwarded(const rpc::cancel_request& request,
                                                     absl::Time now) const;

private:
    enum class origin { caller, entry };

    struct next_hop {
        rpc::entry_member member;
        bool passed_on{false}; ///< the member answers without a further hop
    };

    [[nodiscard]] submission_result route(rpc::status_request request, origin from,
                                          absl::Time now) const;
    [[nodiscard]] submission_result route(rpc::cancel_request request, origin from,
                                          absl::Time now) const;
    template <typename Request>
    std::optional<rpc::entry_member> choose_hop(Request& request, origin from) const;
    [[nodiscard]] std::optional<next_hop> hop_for(const submission_key& key, origin from) const;
    [[nodiscard]] submission_result query(const rpc::entry_member& target,
                                          const rpc::status_request& request) const;
    [[nodiscard]] submission_result query(const rpc::entry_member& target,
                                          const rpc::cancel_request& request) const;
    [[nodiscard]] submission_result local_status(const submission_key& key, absl::Time now) const;

    dispatch_context& context_;
};

} // namespace carobfall
