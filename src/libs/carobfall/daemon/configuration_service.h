#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/dispatch/agent_registry.h"
#include "carobfall/dispatch/backend_health.h"
#include "carobfall/dispatch/submission_service.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/membership.h"
#include "carobfall/operators/operator_service.h"
#include "carobfall/platform/configuration_store.h"

namespace carobfall {

/// Components of the entry that operators' requests use. All must outlive the service.
struct operator_service_components {
    configuration_store& store;
    configuration_replica& replica;
    membership& members;
    agent_registry& agents;
    submission_service& submissions;
    entry_channel_factory entries;
    clock_function clock;
    const backend_health& health;
};

/// Serves operators' requests at an entry: commits changes to the table service and then publishes
/// them to the other entries.
class configuration_service final : public operator_service {
public:
    explicit configuration_service(operator_service_components components);

    result<declared_row> find_declaration(const std::string& key) override;
    result<std::vector<declared_row>> list_declarations(const std::string& prefix) override;
    std::uint64_t configuration_version() override;
    result<change_report> apply(const std::string& yaml, const std::string& only_key,
                                const change_options& options) override;
    result<change_report> remove(const std::string& key, const change_options& options) override;
    result<change_report> set_data_centre(const std::string& name, bool out,
                                          const change_options& options) override;
    result<std::vector<data_centre_status>> data_centres() override;
    result<std::vector<backend_status>> backends() override;
    result<void> forget_entry(const std::string& name) override;
    result<std::uint32_t> retry_now(const std::string& agent) override;

private:
    result<change_report> commit(std::vector<rpc::configuration_change> changes,
                                 const change_options& options);

    const operator_service_components components_;
};

} // namespace carobfall
