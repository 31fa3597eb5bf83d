#pragma once

#include "carobfall/platform/table_service.h"

#include <map>
#include <string>

namespace carobfall::test {

/// Table service in memory with outages, lost answers and a hook before a commit.
class fake_table : public table_service {
public:
    bool outage{false};
    int lost_answers{0}; ///< this many commits take effect without an answer
    std::function<void()> before_commit;

    result<std::optional<table_row>> read(std::string_view key) override
    {
        if (outage) {
            return down();
        }
        const auto row = rows_.find(std::string(key));
        return row == rows_.end() ? std::nullopt : std::optional(row->second);
    }

    result<std::vector<table_row>> scan(std::string_view prefix) override
    {
        if (outage) {
            return down();
        }
        std::vector<table_row> found;
        for (const auto& [key, row] : rows_) {
            if (key.starts_with(prefix)) {
                found.push_back(row);
            }
        }
        return found;
    }

    result<void> commit(const table_transaction& transaction) override
    {
        if (outage) {
            return down();
        }
        if (before_commit) {
            std::exchange(before_commit, nullptr)();
        }
        for (const table_condition& condition : transaction.conditions) {
            const auto row = rows_.find(condition.key);
            if ((row == rows_.end() ? 0 : row->second.version) != condition.version) {
                return failure(error_kind::conflict, "condition", "read again");
            }
        }
        for (const table_write& write : transaction.writes) {
            rows_[write.key] = {write.key, write.value.value_or(""), ++last_version_};
        }
        if (lost_answers > 0) {
            --lost_answers;
            return failure(error_kind::outcome_unknown, "answer lost", "read again");
        }
        return success();
    }

private:
    static boost::outcome_v2::failure_type<error> down()
    {
        return failure(error_kind::unavailable, "outage", "wait");
    }

    std::map<std::string, table_row> rows_;
    std::uint64_t last_version_{0};
};

} // namespace carobfall::test
