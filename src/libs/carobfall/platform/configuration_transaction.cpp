#include "carobfall/platform/configuration_transaction.h"

#include "carobfall/base/ids.h"
#include "carobfall/config/configuration_builder.h"
#include "carobfall/config/declarations.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>

namespace carobfall::internal {
namespace {

std::string digest_of(const std::vector<rpc::configuration_change>& changes)
{
    std::string text;
    for (const rpc::configuration_change& change : changes) {
        absl::StrAppend(&text, change.key(), "\n", change.deleted() ? "-" : "+",
                        change.value().size(), "\n", change.value());
    }
    return absl::StrFormat("%016x", stable_hash(text));
}

auto row_changed(const std::string& key, std::uint64_t version)
{
    return failure(error_kind::conflict,
                   absl::StrCat(key, " was changed by another operator in version ", version),
                   absl::StrCat("look at the present ", key,
                                ", then repeat your change on top of it with a new change id"));
}

/// Maximum deadline of the template that the change declares; zero if it declares no template.
result<absl::Duration> max_deadline_of(const rpc::configuration_change& change)
{
    if (change.deleted()) {
        return absl::ZeroDuration();
    }
    BOOST_OUTCOME_TRY(const std::vector<declaration> values,
                      parse_declarations(change.value(), change.key()));
    const auto* declared =
        values.size() == 1 ? std::get_if<dispatch_template>(&values.front()) : nullptr;
    return declared == nullptr ? absl::ZeroDuration() : declared->max_deadline;
}

absl::Duration longest_of(const std::map<std::string, absl::Duration>& deadlines)
{
    absl::Duration longest = absl::ZeroDuration();
    for (const auto& [key, deadline] : deadlines) {
        longest = std::max(longest, deadline);
    }
    return longest;
}

/// Key prefix of the account's templates, for each account with a changed template.
std::map<std::string, std::string>
changed_accounts(const std::vector<rpc::configuration_change>& changes)
{
    std::map<std::string, std::string> accounts;
    for (const rpc::configuration_change& change : changes) {
        if (change.key().starts_with(template_prefix)) {
            const std::size_t end = change.key().find('/', template_prefix.size());
            accounts[change.key().substr(template_prefix.size(), end - template_prefix.size())] =
                change.key().substr(0, end + 1);
        }
    }
    return accounts;
}

} // namespace

configuration_transaction::configuration_transaction(table_service& table,
                                                     const configuration_change_set& request)
    : table_(table),
      request_(request),
      digest_(digest_of(request.changes)),
      base_version_(request.expected_version)
{}

configuration_transaction::step configuration_transaction::attempt()
{
    committing_ = false;
    const result<void> outcome = attempt_once();
    if (outcome) {
        return step::done;
    }
    last_error_ = outcome.error();
    const error_kind kind = last_error_.kind;
    if (committing_ && kind == error_kind::outcome_unknown) {
        unresolved_commit_ = head_.row_version;
    }
    const bool head_moved = committing_ && kind == error_kind::conflict;
    const bool repeat = unresolved_commit_ || head_moved || kind == error_kind::overloaded;
    return repeat ? step::repeat : step::failed;
}

error configuration_transaction::failure_reason() const
{
    if (unresolved_commit_) {
        return {error_kind::outcome_unknown,
                "the answer of the table service to change " + request_.change_id + " was lost",
                "repeat the request with the same change id; it is applied at most once"};
    }
    if (committing_ && last_error_.kind == error_kind::conflict) {
        return {error_kind::conflict, "other operators' changes went first in every attempt",
                "repeat the request with the same change id"};
    }
    return last_error_;
}

result<void> configuration_transaction::attempt_once()
{
    // The head is read first, so that a commit that moved it is found by its change id.
    BOOST_OUTCOME_TRY(const std::optional<table_row> row, table_.read(configuration_head_key));
    BOOST_OUTCOME_TRY(head_, decode_head(row));
    base_version_ = base_version_.value_or(head_.version);
    BOOST_OUTCOME_TRY(const bool committed, find_committed());
    if (committed) {
        return success();
    }
    if (unresolved_commit_ && *unresolved_commit_ != head_.row_version) {
        unresolved_commit_.reset(); // its condition can no longer be met
    }
    BOOST_OUTCOME_TRY(check_base_version());
    version_ = head_.version;
    BOOST_OUTCOME_TRY(std::vector<rpc::configuration_change> changes, differing_changes());
    if (changes.empty()) {
        return success();
    }
    BOOST_OUTCOME_TRY(add_bounds(changes));
    return commit(std::move(changes));
}

result<bool> configuration_transaction::find_committed()
{
    BOOST_OUTCOME_TRY(const std::optional<table_row> row,
                      table_.read(change_record_key(request_.change_id)));
    if (!row) {
        return false;
    }
    BOOST_OUTCOME_TRY(const change_record record, decode_record(*row));
    if (record.digest != digest_) {
        return failure(error_kind::conflict,
                       absl::StrCat("the change id ", request_.change_id,
                                    " stands for other changes, committed in version ",
                                    record.version),
                       "use a new change id");
    }
    version_ = record.version;
    return true;
}

result<void> configuration_transaction::check_base_version()
{
    if (*base_version_ <= head_.version && head_.version - *base_version_ <= kept_versions) {
        return success();
    }
    return failure(error_kind::conflict,
                   absl::StrCat("the expected version ", *base_version_,
                                " can't be compared with the present version ", head_.version),
                   "load the present configuration and repeat the change on top of it");
}

result<std::vector<rpc::configuration_change>> configuration_transaction::differing_changes()
{
    std::vector<rpc::configuration_change> differing;
    std::optional<rpc::configuration_change> conflicting;
    for (const rpc::configuration_change& change : request_.changes) {
        BOOST_OUTCOME_TRY(const std::optional<table_row> row,
                          table_.read(configuration_row_key(change.key())));
        if (!row) {
            if (!change.deleted()) {
                differing.push_back(change);
            }
            continue;
        }
        BOOST_OUTCOME_TRY(const rpc::configuration_change stored, decode_change(*row));
        if (stored.deleted() == change.deleted() && stored.value() == change.value()) {
            version_ = std::max(version_, stored.version());
            continue;
        }
        differing.push_back(change);
        if (stored.version() > *base_version_) {
            conflicting = stored;
        }
    }
    if (conflicting) {
        return row_changed(conflicting->key(), conflicting->version());
    }
    return differing;
}

result<void> configuration_transaction::add_bounds(std::vector<rpc::configuration_change>& changes)
{
    for (const auto& [account, prefix] : changed_accounts(changes)) {
        std::map<std::string, absl::Duration> deadlines;
        BOOST_OUTCOME_TRY(const std::vector<table_row> rows,
                          table_.scan(configuration_row_key(prefix)));
        for (const table_row& row : rows) {
            BOOST_OUTCOME_TRY(const rpc::configuration_change stored, decode_change(row));
            BOOST_OUTCOME_TRY(deadlines[stored.key()], max_deadline_of(stored));
        }
        const absl::Duration before = longest_of(deadlines);
        for (const rpc::configuration_change& change : changes) {
            if (change.key().starts_with(prefix)) {
                BOOST_OUTCOME_TRY(deadlines[change.key()], max_deadline_of(change));
            }
        }
        BOOST_OUTCOME_TRY(const deadline_bound stored, stored_bound(account, !rows.empty()));
        const deadline_bound next = changed_bound(stored, before, longest_of(deadlines));
        if (encode_bound(next) != encode_bound(stored)) {
            changes.push_back(bound_change(account, next));
        }
    }
    return success();
}

// Without a stored bound, earlier templates of the account may have had longer deadlines. This is
// ruled out only if the log still has every change and none concerns a template of the account.
result<deadline_bound> configuration_transaction::stored_bound(const std::string& account,
                                                               bool has_templates)
{
    BOOST_OUTCOME_TRY(const std::optional<table_row> row,
                      table_.read(configuration_row_key(deadline_bound_key(account))));
    deadline_bound bound;
    if (!row) {
        const bool is_new = !has_templates && head_.version <= kept_versions;
        bound.longest = is_new ? absl::ZeroDuration() : max_deadline;
        return bound;
    }
    BOOST_OUTCOME_TRY(const rpc::configuration_change stored, decode_change(*row));
    return decode_bound(stored.value());
}

result<void> configuration_transaction::commit(std::vector<rpc::configuration_change> changes)
{
    table_transaction transaction;
    transaction.conditions.push_back({std::string(configuration_head_key), head_.row_version});
    std::uint64_t version = head_.version;
    for (rpc::configuration_change& change : changes) {
        change.set_version(++version);
        change.set_change_id(request_.change_id);
        const std::string text = encode_change(change);
        transaction.writes.push_back({configuration_row_key(change.key()), text});
        transaction.writes.push_back({configuration_log_key(version), text});
        if (version > kept_versions) {
            BOOST_OUTCOME_TRY(add_trimming(version - kept_versions, transaction));
        }
    }
    transaction.writes.push_back(
        {change_record_key(request_.change_id), encode_record({version, digest_})});
    transaction.writes.push_back({std::string(configuration_head_key), std::to_string(version)});
    committing_ = true;
    BOOST_OUTCOME_TRY(table_.commit(transaction));
    version_ = version;
    return success();
}

result<void> configuration_transaction::add_trimming(std::uint64_t version,
                                                     table_transaction& transaction)
{
    BOOST_OUTCOME_TRY(const std::optional<table_row> row,
                      table_.read(configuration_log_key(version)));
    if (!row) {
        return success();
    }
    BOOST_OUTCOME_TRY(const rpc::configuration_change old, decode_change(*row));
    transaction.writes.push_back({row->key, std::nullopt});
    transaction.writes.push_back({change_record_key(old.change_id()), std::nullopt});
    if (!old.deleted() || changes_row(old.key())) {
        return success();
    }
    BOOST_OUTCOME_TRY(const std::optional<table_row> present,
                      table_.read(configuration_row_key(old.key())));
    if (present) {
        BOOST_OUTCOME_TRY(const rpc::configuration_change last, decode_change(*present));
        if (last.version() == version) {
            transaction.writes.push_back({present->key, std::nullopt});
        }
    }
    return success();
}

bool configuration_transaction::changes_row(const std::string& key) const
{
    return std::any_of(request_.changes.begin(), request_.changes.end(),
                       [&](const auto& change) { return change.key() == key; });
}

} // namespace carobfall::internal
