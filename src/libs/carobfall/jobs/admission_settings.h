#pragma once

#include "carobfall/base/error.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>

namespace carobfall {

/// How room is divided between routes while jobs have to be refused.
struct admission_settings {
    absl::flat_hash_map<std::string, double> weights; ///< by route
    double floor{0.25}; ///< least part of its demand that is admitted of a route, see fair_shares

    /// The weight of a route that the settings don't name is 1.
    [[nodiscard]] double weight_of(const std::string& route) const;

    bool operator==(const admission_settings&) const = default;
};

/// Collects settings and checks them.
class admission_settings_builder {
public:
    admission_settings_builder& weight(const std::string& route, double value);
    admission_settings_builder& floor(double value);
    /// Errors: `invalid_request`, naming the field and the remedy.
    [[nodiscard]] result<admission_settings> build() const;

private:
    admission_settings settings_;
};

} // namespace carobfall
