#include "carobfall/config/configuration_builder.h"

#include "carobfall/base/ids.h"
#include "carobfall/config/declarations.h"

namespace carobfall {
namespace {

constexpr std::string_view data_centre_prefix = "data_centre/";

struct row_key {
    enum class row_type { account, dispatch_template, data_centre, deadline_bound };
    row_type type{row_type::account};
    std::string name;
    std::string account; ///< of a template
};

auto invalid_row(const std::string& key, const std::string& message)
{
    return failure(error_kind::invalid_request, "row " + key + ": " + message,
                   "use account/<client account>, template/<client account>/<name> or "
                   "data_centre/<name> with a matching value");
}

result<row_key> parse_key(const std::string& key)
{
    row_key parsed;
    const std::string rest = key.substr(std::min(key.find('/') + 1, key.size()));
    parsed.name = rest;
    if (key.starts_with(template_prefix)) {
        const std::size_t slash = rest.find('/');
        parsed.type = row_key::row_type::dispatch_template;
        parsed.account = rest.substr(0, slash);
        parsed.name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    } else if (key.starts_with(data_centre_prefix)) {
        parsed.type = row_key::row_type::data_centre;
    } else if (key.starts_with(deadline_bound_prefix)) {
        parsed.type = row_key::row_type::deadline_bound;
    } else if (!key.starts_with(account_prefix)) {
        return invalid_row(key, "unknown type of row");
    }
    const bool has_account = parsed.type == row_key::row_type::dispatch_template;
    if (!is_valid_name(parsed.name) || (has_account && !is_valid_name(parsed.account))) {
        return invalid_row(key, "the key contains an invalid name");
    }
    return parsed;
}

result<declaration> parse_value(const rpc::configuration_change& change)
{
    BOOST_OUTCOME_TRY(std::vector<declaration> values,
                      parse_declarations(change.value(), change.key()));
    if (values.size() != 1 || key_of(values.front()) != change.key()) {
        return invalid_row(change.key(), "the value doesn't declare exactly this key");
    }
    return std::move(values.front());
}

result<void> apply_data_centre(configuration& target, const rpc::configuration_change& change,
                               const std::string& name)
{
    if (!change.deleted() && change.value() != data_centre_out &&
        change.value() != data_centre_in) {
        return invalid_row(change.key(), "the value is neither out nor in");
    }
    if (!change.deleted() && change.value() == data_centre_out) {
        target.data_centres_out.insert(name);
    } else {
        target.data_centres_out.erase(name);
    }
    return success();
}

result<void> apply_bound(configuration& target, const rpc::configuration_change& change,
                         const std::string& account)
{
    if (change.deleted()) {
        target.deadline_bounds.erase(account);
        return success();
    }
    BOOST_OUTCOME_TRY(target.deadline_bounds[account], decode_bound(change.value()));
    return success();
}

result<void> apply_to(configuration& target, const rpc::configuration_change& change)
{
    BOOST_OUTCOME_TRY(const row_key key, parse_key(change.key()));
    if (key.type == row_key::row_type::data_centre) {
        return apply_data_centre(target, change, key.name);
    }
    if (key.type == row_key::row_type::deadline_bound) {
        return apply_bound(target, change, key.name);
    }
    if (change.deleted()) {
        if (key.type == row_key::row_type::account) {
            target.accounts.erase(key.name);
        } else {
            target.templates.erase({key.account, key.name});
        }
        return success();
    }
    BOOST_OUTCOME_TRY(declaration value, parse_value(change));
    if (auto* account = std::get_if<client_account>(&value)) {
        target.accounts[key.name] = std::move(*account);
    } else {
        target.templates[{key.account, key.name}] = std::move(std::get<dispatch_template>(value));
    }
    return success();
}

} // namespace

rpc::configuration_change bound_change(std::string_view account, const deadline_bound& bound)
{
    rpc::configuration_change change;
    change.set_key(deadline_bound_key(account));
    change.set_value(encode_bound(bound));
    return change;
}

rpc::configuration_change data_centre_change(const std::string& name, bool out)
{
    rpc::configuration_change change;
    change.set_key(std::string(data_centre_prefix) + name);
    change.set_value(std::string(out ? data_centre_out : data_centre_in));
    return change;
}

result<rpc::configuration_change> canonical_change(const rpc::configuration_change& change)
{
    configuration scratch;
    BOOST_OUTCOME_TRY(apply_to(scratch, change));
    rpc::configuration_change canonical = change;
    if (change.deleted()) {
        canonical.clear_value();
    } else if (change.key().starts_with(deadline_bound_prefix)) {
        canonical.set_value(encode_bound(scratch.deadline_bounds.begin()->second));
    } else if (!change.key().starts_with(data_centre_prefix)) {
        BOOST_OUTCOME_TRY(const declaration value, parse_value(change));
        canonical.set_value(to_yaml(value));
    }
    return canonical;
}

result<void> configuration_builder::apply(const rpc::push_configuration_request& update)
{
    if (update.version() <= current_.version) {
        return success();
    }
    configuration_builder next;
    if (!update.snapshot()) {
        next = *this;
    }
    for (const rpc::configuration_change& change : update.changes()) {
        if (!update.snapshot() && change.version() <= next.version()) {
            continue;
        }
        if (!update.snapshot() && change.version() != next.version() + 1) {
            break;
        }
        BOOST_OUTCOME_TRY(next.apply_change(change));
    }
    if (!update.snapshot() && next.version() != update.version()) {
        return failure(error_kind::conflict,
                       "changes between the configuration versions " +
                           std::to_string(next.version()) + " and " +
                           std::to_string(update.version()) + " are missing",
                       "load a snapshot");
    }
    next.current_.version = update.version();
    *this = std::move(next);
    return success();
}

configuration_ptr configuration_builder::build() const
{
    return std::make_shared<const configuration>(current_);
}

rpc::push_configuration_request configuration_builder::snapshot() const
{
    rpc::push_configuration_request request;
    request.set_snapshot(true);
    request.set_version(current_.version);
    for (const auto& [key, change] : rows_) {
        *request.add_changes() = change;
    }
    return request;
}

result<void> configuration_builder::apply_change(const rpc::configuration_change& change)
{
    BOOST_OUTCOME_TRY(apply_to(current_, change));
    if (change.deleted()) {
        rows_.erase(change.key());
    } else {
        rows_[change.key()] = change;
    }
    current_.version = change.version();
    return success();
}

} // namespace carobfall
