#pragma once

#include "../support/wait.h"
#include "carobfall/rpc/carobfall.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace carobfall {

/// An entry that grants leases and records the reports and the last heartbeat.
class fake_entry : public rpc::entry_service::Service {
public:
    fake_entry()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
        address = "127.0.0.1:" + std::to_string(port);
    }

    grpc::Status register_agent(grpc::ServerContext*, const rpc::register_request* request,
                                rpc::register_reply* reply) override
    {
        const std::lock_guard lock(mutex);
        agent = request->agent();
        reply->set_registered(true);
        return grpc::Status::OK;
    }

    grpc::Status beat(grpc::ServerContext*, const rpc::beat_request* request,
                      rpc::beat_reply* reply) override
    {
        const std::lock_guard lock(mutex);
        last_heartbeat = *request;
        reply->set_send_time_us(request->send_time_us());
        reply->set_lease_ms(lease_ms);
        reply->set_configuration_version(configuration_version);
        for (const std::string& data_centre : data_centres_out) {
            reply->add_data_centres_out(data_centre);
        }
        reply->set_registered(true);
        return grpc::Status::OK;
    }

    grpc::Status report(grpc::ServerContext*, const rpc::report_request* request,
                        rpc::report_reply*) override
    {
        const std::lock_guard lock(mutex);
        for (const rpc::task_report& entry : request->reports()) {
            reports[entry.status().index()] = entry.status();
        }
        return grpc::Status::OK;
    }

    /// Waits until the condition, evaluated under the lock, is true.
    bool wait_until(const std::function<bool()>& condition)
    {
        return testing::becomes_true([&] {
            const std::lock_guard lock(mutex);
            return condition();
        });
    }

    std::mutex mutex;
    std::string address;
    std::uint32_t lease_ms{2000};
    std::uint64_t configuration_version{1};
    std::vector<std::string> data_centres_out;
    rpc::agent_info agent;
    rpc::beat_request last_heartbeat;
    std::map<std::uint32_t, rpc::task_status> reports;

private:
    std::unique_ptr<grpc::Server> server_;
};

} // namespace carobfall
