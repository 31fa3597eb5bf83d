#include "carobfall/jobs/worker_status.h"

namespace carobfall {
namespace {

constexpr double percent = 100;

void set_room(const resource_amounts& amounts, fleet::room& room)
{
    room.set_cpu_millicores(amounts.cpu_millicores);
    room.set_memory_mib(amounts.memory_mib);
    room.set_accelerators(amounts.accelerators);
}

} // namespace

void describe_worker(const worker_ledger& ledger, fleet::agent_status& status)
{
    if (!ledger.worker()) {
        return;
    }
    const worker_announcement& worker = *ledger.worker();
    status.set_rack(worker.rack);
    status.set_service(worker.service);
    for (const std::string& label : worker.labels) {
        status.add_labels(label);
    }
    set_room(worker.capacity, *status.mutable_capacity());
}

void describe_load(const worker_ledger& ledger, absl::Time now, fleet::agent_status& status)
{
    for (const std::int64_t millicores : ledger.waiting_room(now).classes()) {
        status.add_waiting_millicores(millicores);
    }
    status.set_released_millicores_per_s(
        static_cast<std::uint64_t>(ledger.released_millicores_per_s(now)));
    status.set_failure_percent(static_cast<std::uint32_t>(ledger.failure_share(now) * percent));
    status.set_slowness_percent(static_cast<std::uint32_t>(ledger.slowness(now) * percent));
    if (ledger.worker()) {
        set_room(ledger.free_room(), *status.mutable_free());
    }
}

} // namespace carobfall
