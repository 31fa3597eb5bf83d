#include "carobfall/entry/entry_status.h"

#include "carobfall/rpc/carobfall.pb.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace carobfall {
namespace {

// The gRPC status code doesn't show whether the request was sent. These messages are produced while
// a connection is selected, before sending; any other message counts as sent.
bool never_sent(const grpc::Status& status)
{
    return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
           (absl::StrContains(status.error_message(), "failed to connect to all addresses") ||
            absl::StrContains(status.error_message(), "connections to all backends failing"));
}

} // namespace

grpc::Status to_status(const error& failure)
{
    rpc::submission_answer details;
    details.set_error_kind(std::string(name_of(failure.kind)));
    details.set_error_message(failure.message);
    details.set_error_remedy(failure.remedy);
    return {grpc::StatusCode::FAILED_PRECONDITION, to_string(failure), details.SerializeAsString()};
}

error from_status(const grpc::Status& status, const std::string& peer)
{
    rpc::submission_answer details;
    if (!status.error_details().empty() && details.ParseFromString(status.error_details())) {
        if (const auto kind = error_kind_from_name(details.error_kind())) {
            return {*kind, details.error_message(), details.error_remedy()};
        }
    }
    if (never_sent(status)) {
        return {error_kind::unavailable, absl::StrCat("entry ", peer, " can't be reached"),
                "retry in a few seconds, when another entry may have taken over"};
    }
    if (status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED) {
        return {error_kind::overloaded, absl::StrCat("entry ", peer, " has no thread for the call"),
                "retry later"};
    }
    return {error_kind::outcome_unknown,
            absl::StrCat("no reply from entry ", peer, ": ", status.error_message()),
            "query the state before repeating the call"};
}

} // namespace carobfall
