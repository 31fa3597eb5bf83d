#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobfall {

/// Maximum bytes in the name of a client account, submission, template, data centre or process.
inline constexpr std::size_t max_name_bytes = 128;

/// Maximum number of tasks in one submission.
inline constexpr std::uint32_t max_tasks_per_submission = 670;

/// Identity of a submission: the caller's id within its client account.
struct submission_key {
    std::string client_account;
    std::string submission_id;

    auto operator<=>(const submission_key&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const submission_key& key)
    {
        return H::combine(std::move(state), key.client_account, key.submission_id);
    }
};

/// Identity of one task of a submission.
struct task_key {
    submission_key submission;
    std::uint32_t index{0};

    auto operator<=>(const task_key&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const task_key& key)
    {
        return H::combine(std::move(state), key.submission, key.index);
    }
};

[[nodiscard]] submission_key from_message(const rpc::submission_key& message);
[[nodiscard]] rpc::submission_key to_message(const submission_key& key);

/// "account/id", for logs and dumps.
[[nodiscard]] std::string to_string(const submission_key& key);

/// True for 1 to `max_name_bytes` characters of [A-Za-z0-9._-] that don't begin with a dot.
[[nodiscard]] bool is_valid_name(std::string_view name);

/// 64-bit hash that is the same in every process and release (FNV-1a with a final mix).
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

/// Random 128-bit identifier in hexadecimal, for incarnations, change ids and request ids.
[[nodiscard]] std::string random_id();

/// Compares tokens in a time that doesn't depend on their contents.
[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right);

} // namespace carobfall
