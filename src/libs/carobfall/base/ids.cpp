#include "carobfall/base/ids.h"

#include <absl/random/random.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace carobfall {

submission_key from_message(const rpc::submission_key& message)
{
    return {message.client_account(), message.submission_id()};
}

rpc::submission_key to_message(const submission_key& key)
{
    rpc::submission_key message;
    message.set_client_account(key.client_account);
    message.set_submission_id(key.submission_id);
    return message;
}

std::string to_string(const submission_key& key)
{
    return absl::StrCat(key.client_account, "/", key.submission_id);
}

bool is_valid_name(std::string_view name)
{
    if (name.empty() || name.size() > max_name_bytes || name.front() == '.') {
        return false;
    }
    return std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return absl::ascii_isalnum(character) || character == '.' || character == '_' ||
               character == '-';
    });
}

std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const unsigned char character : text) {
        hash ^= character;
        hash *= 0x100000001b3ULL;
    }
    // FNV-1a alone leaves the high bits of short, similar names correlated.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

std::string random_id()
{
    absl::BitGen generator;
    return absl::StrFormat("%016x%016x", absl::Uniform<std::uint64_t>(generator),
                           absl::Uniform<std::uint64_t>(generator));
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    std::size_t difference = left.size() ^ right.size();
    for (std::size_t i = 0; i < left.size(); ++i) {
        const unsigned char other = right.empty() ? 0 : right[i % right.size()];
        difference |= static_cast<unsigned char>(left[i]) ^ other;
    }
    return difference == 0;
}

} // namespace carobfall
