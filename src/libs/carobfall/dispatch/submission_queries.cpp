#include "carobfall/dispatch/submission_queries.h"

#include "carobfall/dispatch/answer_builder.h"
#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

namespace carobfall {
namespace {

// The receiver of the first hop may wait for the final hop, so the first timeout is longer.
constexpr absl::Duration final_hop_timeout = absl::Milliseconds(300);
constexpr absl::Duration first_hop_timeout = absl::Milliseconds(600);

absl::Duration timeout_of(bool passed_on)
{
    return passed_on ? final_hop_timeout : first_hop_timeout;
}

bool is_unanswered(const error& reason)
{
    return reason.kind == error_kind::unavailable || reason.kind == error_kind::outcome_unknown;
}

template <typename Request>
Request request_for(const submission_key& key)
{
    Request request;
    *request.mutable_key() = to_message(key);
    return request;
}

} // namespace

submission_queries::submission_result submission_queries::status(const submission_key& key,
                                                                 absl::Time now) const
{
    return route(request_for<rpc::status_request>(key), origin::caller, now);
}

submission_queries::submission_result submission_queries::cancel(const submission_key& key,
                                                                 absl::Time now) const
{
    return route(request_for<rpc::cancel_request>(key), origin::caller, now);
}

submission_queries::submission_result
submission_queries::status_forwarded(const rpc::status_request& request, absl::Time now) const
{
    return route(request, origin::entry, now);
}

submission_queries::submission_result
submission_queries::cancel_forwarded(const rpc::cancel_request& request, absl::Time now) const
{
    return route(request, origin::entry, now);
}

submission_queries::submission_result submission_queries::route(rpc::status_request request,
                                                                origin from, absl::Time now) const
{
    const auto target = choose_hop(request, from);
    return target ? query(*target, request) : local_status(from_message(request.key()), now);
}

submission_queries::submission_result submission_queries::route(rpc::cancel_request request,
                                                                origin from, absl::Time now) const
{
    if (const auto target = choose_hop(request, from)) {
        return query(*target, request);
    }
    const submission_key key = from_message(request.key());
    if (const auto running = context_.table.find_job(key)) {
        running->request_cancel();
    }
    return local_status(key, now);
}

// Returns the entry that the request goes to and sets `passed_on` accordingly. Returns no value if
// the request is answered here.
template <typename Request>
std::optional<rpc::entry_member> submission_queries::choose_hop(Request& request, origin from) const
{
    if (request.passed_on()) {
        return std::nullopt;
    }
    const auto hop = hop_for(from_message(request.key()), from);
    if (!hop) {
        return std::nullopt;
    }
    request.set_passed_on(hop->passed_on);
    return hop->member;
}

// Returns the coordinator named in a claim held here. Without such a claim, returns the entry that
// rendezvous hashing selects for the key, but only for requests of callers.
std::optional<submission_queries::next_hop> submission_queries::hop_for(const submission_key& key,
                                                                        origin from) const
{
    if (context_.table.find(key)) {
        return std::nullopt;
    }
    const rpc::entry_member& self = context_.dependencies.owner->self();
    const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    if (const auto claim = context_.dependencies.claims->find(key)) {
        const rpc::entry_member* member = find_member(snapshot.view, claim->coordinator());
        if (member != nullptr && !same_incarnation(*member, self)) {
            return next_hop{*member, true};
        }
    }
    const rpc::entry_member* owner = coordinator_of(snapshot.view, key);
    if (from == origin::entry || owner == nullptr || same_incarnation(*owner, self)) {
        return std::nullopt;
    }
    return next_hop{*owner, false};
}

submission_queries::submission_result
submission_queries::query(const rpc::entry_member& target, const rpc::status_request& request) const
{
    const auto answer =
        context_.dependencies.entries(target)->status(request, timeout_of(request.passed_on()));
    if (!answer && is_unanswered(answer.error())) {
        return failure(error_kind::unavailable,
                       absl::StrCat("entry ", target.name(), " did not answer"),
                       "query again in a moment");
    }
    return answer ? decode_error(answer.value()) : answer;
}

submission_queries::submission_result
submission_queries::query(const rpc::entry_member& target, const rpc::cancel_request& request) const
{
    const auto answer =
        context_.dependencies.entries(target)->cancel(request, timeout_of(request.passed_on()));
    if (!answer && is_unanswered(answer.error())) {
        return failure(answer.error().kind,
                       absl::StrCat("entry ", target.name(), " did not answer"),
                       "cancel again in a moment; a repeated cancellation does no harm");
    }
    return answer ? decode_error(answer.value()) : answer;
}

submission_queries::submission_result submission_queries::local_status(const submission_key& key,
                                                                       absl::Time now) const
{
    if (const auto known = context_.table.find(key)) {
        if (const auto* running = std::get_if<std::shared_ptr<job>>(&known->state)) {
            return answer_running(**running);
        }
        if (const auto* answer = std::get_if<submission_table::answer_ptr>(&known->state)) {
            return **answer;
        }
        return expired_answer_error();
    }
    const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    if (const auto claim = context_.dependencies.claims->find(key)) {
        if (is_from_records(*claim)) {
            return recovering("only agents hold records of the submission");
        }
        if (same_incarnation(claim->coordinator(), context_.dependencies.owner->self())) {
            return expired_answer_error();
        }
        return recovering(absl::StrCat("the submission was run by entry ",
                                       claim->coordinator().name(),
                                       " and has not been taken over"));
    }
    if (!snapshot.complete || now < snapshot.effective_since) {
        return recovering("the records of the last view are still being collected");
    }
    return failure(error_kind::not_found, "the submission is not known",
                   "check the id; submissions are kept until their deadline and one minute more");
}

} // namespace carobfall
