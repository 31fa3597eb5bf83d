#pragma once

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <string>

namespace carobfall::testing {

/// Number of sequences of a randomized test. Sanitizer runs lower it by CAROBFALL_FUZZ_RUNS.
inline int fuzz_runs(int by_default)
{
    const char* runs = std::getenv("CAROBFALL_FUZZ_RUNS");
    return runs == nullptr ? by_default : std::atoi(runs);
}

/// Sets the parameters of `rc::check` unless RC_PARAMS is set.
inline void configure_rapidcheck(int max_size)
{
    const std::string parameters =
        absl::StrCat("seed=20261204 max_size=", max_size, " max_success=", fuzz_runs(300));
    setenv("RC_PARAMS", parameters.c_str(), 0);
}

} // namespace carobfall::testing
