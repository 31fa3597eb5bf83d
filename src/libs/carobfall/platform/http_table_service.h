#pragma once

#include "carobfall/config/ip_endpoint.h"
#include "carobfall/platform/table_service.h"

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>

namespace carobfall {

/// Client of the platform's table service; see docs/platform-protocol.md.
///
/// Each call uses a connection of its own: the service is called about once a second, and a kept
/// connection that the service closes at the same moment would make the outcome of a commit
/// unknown. `timeout` limits the whole call; a quarter of it is for connecting and a quarter for
/// sending.
class http_table_service : public table_service {
public:
    http_table_service(ip_endpoint address, absl::Duration timeout);

    result<std::optional<table_row>> read(std::string_view key) override;
    result<std::vector<table_row>> scan(std::string_view prefix) override;
    result<void> commit(const table_transaction& transaction) override;

private:
    /// Whether a call that got no response may have had an effect.
    enum class effect { none, possible };

    [[nodiscard]] result<nlohmann::json> call(const char* path, const nlohmann::json& body,
                                              effect without_response) const;

    ip_endpoint address_;
    absl::Duration timeout_;
};

} // namespace carobfall
