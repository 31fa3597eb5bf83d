#pragma once

#include "carobfall/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// One row of the platform's table service. `version` grows with every write of the row.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version{0};
};

/// The transaction applies only if the row has this version; 0 means that the row must not exist.
struct table_condition {
    std::string key;
    std::uint64_t version{0};
};

/// Writes the value, or deletes the row if no value is given.
struct table_write {
    std::string key;
    std::optional<std::string> value;
};

struct table_transaction {
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

/// The platform's transactional table service. Implementations are thread-safe and block for at
/// most their timeout.
///
/// Errors: `conflict` if a condition didn't hold (nothing was written), `unavailable` if the
/// service did not accept the request, `overloaded` if it throttles, `outcome_unknown` if the reply
/// to a commit was lost: the transaction may have been applied, which only a read can determine.
class table_service {
public:
    virtual ~table_service() = default;

    /// Returns no value if the row doesn't exist.
    virtual result<std::optional<table_row>> read(std::string_view key) = 0;
    /// Returns all rows whose key begins with `prefix`, in key order.
    virtual result<std::vector<table_row>> scan(std::string_view prefix) = 0;
    virtual result<void> commit(const table_transaction& transaction) = 0;
};

} // namespace carobfall
