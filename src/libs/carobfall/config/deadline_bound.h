#pragma once

#include "carobfall/base/error.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace carobfall {

/// Time that claims, answers and task records are kept after the deadline. It covers differences
/// between the clocks of the instances.
inline constexpr absl::Duration record_retention = absl::Seconds(60);

/// Maximum time from the acceptance of a submission to its deadline.
inline constexpr absl::Duration max_deadline = absl::Seconds(300);

/// Upper bound of the time from acceptance to deadline for the submissions of a client account. It
/// belongs to the account, because a submission id may have been used with any of its templates.
struct deadline_bound {
    using times_by_region = std::map<std::string, absl::Time, std::less<>>;

    /// Longest `max_deadline` of the account's templates.
    absl::Duration longest{absl::ZeroDuration()};
    /// Earlier, longer values, each with the time until which it applies, by region. A value has no
    /// end in a region without a time: its entries may not have received the change.
    std::map<absl::Duration, times_by_region> earlier_values;

    /// The bound that applies in the region at `now`.
    [[nodiscard]] absl::Duration at(std::string_view region, absl::Time now) const;
    /// True if an earlier value has no end in the region yet.
    [[nodiscard]] bool is_unconfirmed(std::string_view region) const;
};

/// The bound after a change of the account's templates. `old_longest` and `new_longest` are the
/// longest `max_deadline` of the templates before and after the change; zero without templates.
[[nodiscard]] deadline_bound changed_bound(deadline_bound stored, absl::Duration old_longest,
                                           absl::Duration new_longest);

/// The bound once every entry of the region applies `longest` to new submissions.
/// `record_retention` covers the differences between the clocks of the entries.
[[nodiscard]] deadline_bound confirmed_bound(deadline_bound stored, const std::string& region,
                                             absl::Time now);

inline constexpr std::string_view deadline_bound_prefix = "deadline_bound/";

/// Key of the account's row in the configuration.
[[nodiscard]] std::string deadline_bound_key(std::string_view account);
[[nodiscard]] std::string encode_bound(const deadline_bound& bound);
/// Errors: `invalid_request`.
[[nodiscard]] result<deadline_bound> decode_bound(const std::string& text);

} // namespace carobfall
