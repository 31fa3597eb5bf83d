#pragma once

#include "platform/operator_rows.h"

#include <cstdint>
#include <map>
#include <string>

namespace carobfall::platform::test {

/// Decodes the operators' rows, given as values by key, as of `version`.
inline fleet::operator_state decode_operator_rows(const std::map<std::string, std::string>& rows,
                                                  std::uint64_t version)
{
    operator_rows decoded;
    for (const auto& [key, value] : rows) {
        decoded.apply({key, value, false, version});
    }
    fleet::operator_state state = decoded.state({});
    state.set_version(version);
    return state;
}

} // namespace carobfall::platform::test
