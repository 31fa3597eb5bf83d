#include "carobfall/platform/configuration_store.h"

#include "carobfall/base/ids.h"
#include "carobfall/config/configuration_builder.h"
#include "carobfall/platform/configuration_transaction.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace carobfall {
namespace {

/// Maximum number of log rows read one by one; a snapshot is cheaper for a reader further behind.
constexpr std::uint64_t max_log_reads = 100;

/// Returns the request with canonical values. Errors: `invalid_request`.
result<configuration_change_set> canonical_request(const configuration_change_set& request)
{
    if (!is_valid_name(request.change_id)) {
        return failure(error_kind::invalid_request, "the change id is not valid",
                       "use 1 to 128 letters, digits, dots, hyphens or underscores");
    }
    if (request.changes.empty() || request.changes.size() > max_changes_at_once) {
        return failure(error_kind::invalid_request,
                       absl::StrCat(request.changes.size(), " changes in one request"),
                       absl::StrCat("use 1 to ", max_changes_at_once, " changes at once"));
    }
    configuration_change_set canonical = request;
    std::set<std::string> keys;
    for (rpc::configuration_change& change : canonical.changes) {
        if (!keys.insert(change.key()).second) {
            return failure(error_kind::invalid_request, change.key() + " is changed twice",
                           "keep one change of each key");
        }
        BOOST_OUTCOME_TRY(change, canonical_change(change));
    }
    return canonical;
}

/// Builds a snapshot of the rows and applies the changes of the log to it.
rpc::push_configuration_request snapshot_of(const std::vector<rpc::configuration_change>& rows,
                                            const rpc::push_configuration_request& log,
                                            std::uint64_t version)
{
    std::map<std::string, rpc::configuration_change> latest;
    for (const rpc::configuration_change& row : rows) {
        latest[row.key()] = row;
    }
    for (const rpc::configuration_change& change : log.changes()) {
        latest[change.key()] = change;
    }
    rpc::push_configuration_request snapshot;
    snapshot.set_snapshot(true);
    snapshot.set_version(version);
    for (const auto& [key, change] : latest) {
        if (!change.deleted()) {
            *snapshot.add_changes() = change;
        }
    }
    return snapshot;
}

} // namespace

configuration_store::configuration_store(table_service& table, store_retry_policy policy,
                                         sleep_function sleep)
    : table_(table), policy_(policy), sleep_(std::move(sleep))
{}

result<rpc::push_configuration_request> configuration_store::load()
{
    return retry_while_throttled<rpc::push_configuration_request>([this] { return load_once(); });
}

result<rpc::push_configuration_request> configuration_store::changes_since(std::uint64_t version)
{
    return retry_while_throttled<rpc::push_configuration_request>(
        [=, this] { return changes_once(version); });
}

result<std::uint64_t> configuration_store::apply(const configuration_change_set& request)
{
    using step = internal::configuration_transaction::step;
    BOOST_OUTCOME_TRY(const configuration_change_set canonical, canonical_request(request));
    internal::configuration_transaction transaction(table_, canonical);
    for (int attempt = 0; attempt < policy_.attempts; ++attempt) {
        if (attempt > 0) {
            pause(attempt);
        }
        const step taken = transaction.attempt();
        if (taken == step::done) {
            return transaction.version();
        }
        if (taken == step::failed) {
            break;
        }
    }
    return boost::outcome_v2::failure(transaction.failure_reason());
}

result<configuration_head> configuration_store::read_head()
{
    BOOST_OUTCOME_TRY(const std::optional<table_row> row, table_.read(configuration_head_key));
    return decode_head(row);
}

result<rpc::push_configuration_request> configuration_store::load_once()
{
    // Changes may be committed during the scan. The log has all that lie between the two heads.
    BOOST_OUTCOME_TRY(const configuration_head before, read_head());
    BOOST_OUTCOME_TRY(const std::vector<table_row> stored, table_.scan(configuration_row_prefix));
    BOOST_OUTCOME_TRY(const configuration_head after, read_head());
    std::vector<rpc::configuration_change> rows;
    for (const table_row& row : stored) {
        BOOST_OUTCOME_TRY(rpc::configuration_change change, decode_change(row));
        rows.push_back(std::move(change));
    }
    rpc::push_configuration_request log;
    BOOST_OUTCOME_TRY(const bool whole, append_log(before.version + 1, after.version, log));
    if (!whole) {
        return failure(error_kind::overloaded, "the configuration changed faster than it was read",
                       "repeat the call");
    }
    return snapshot_of(rows, log, after.version);
}

result<rpc::push_configuration_request> configuration_store::changes_once(std::uint64_t version)
{
    BOOST_OUTCOME_TRY(const configuration_head head, read_head());
    rpc::push_configuration_request update;
    update.set_version(head.version);
    if (head.version <= version) {
        return update;
    }
    if (head.version - version > max_log_reads) {
        return load_once();
    }
    BOOST_OUTCOME_TRY(const bool whole, append_log(version + 1, head.version, update));
    if (!whole) {
        return load_once();
    }
    return update;
}

result<bool> configuration_store::append_log(std::uint64_t first, std::uint64_t last,
                                             rpc::push_configuration_request& update)
{
    for (std::uint64_t version = first; version <= last; ++version) {
        BOOST_OUTCOME_TRY(const std::optional<table_row> row,
                          table_.read(configuration_log_key(version)));
        if (!row) {
            return false;
        }
        BOOST_OUTCOME_TRY(*update.add_changes(), decode_change(*row));
    }
    return true;
}

void configuration_store::pause(int attempt)
{
    absl::BitGen generator;
    const absl::Duration longest =
        std::min(policy_.longest_pause, policy_.first_pause * (1U << std::min(attempt - 1, 16)));
    sleep_(longest * absl::Uniform(generator, 0.5, 1.0));
}

template <typename T>
result<T> configuration_store::retry_while_throttled(const std::function<result<T>()>& call)
{
    result<T> outcome = call();
    for (int attempt = 1;
         attempt < policy_.attempts && !outcome && outcome.error().kind == error_kind::overloaded;
         ++attempt) {
        pause(attempt);
        outcome = call();
    }
    return outcome;
}

} // namespace carobfall
