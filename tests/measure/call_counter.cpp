#include "call_counter.h"

#include "carobfall/rpc/carobfall.pb.h"

#include <grpcpp/support/client_interceptor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace carobfall::measure {
namespace {

using grpc::experimental::ClientInterceptorFactoryInterface;
using grpc::experimental::ClientRpcInfo;
using grpc::experimental::InterceptionHookPoints;
using grpc::experimental::Interceptor;
using grpc::experimental::InterceptorBatchMethods;

class counter_table {
public:
    void add(const std::string& name, std::uint64_t amount = 1)
    {
        const std::lock_guard lock(mutex_);
        counts_[name] += amount;
    }

    nlohmann::json to_json() const
    {
        const std::lock_guard lock(mutex_);
        return counts_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

counter_table& counters()
{
    static counter_table table;
    return table;
}

std::string short_name(const std::string& method)
{
    return method.substr(method.rfind('/') + 1);
}

template <typename Reply>
void count_tasks(const std::string& method, const void* message)
{
    for (const rpc::task_status& task : static_cast<const Reply*>(message)->tasks()) {
        counters().add(method + "." + rpc::task_state_Name(task.state()));
        if (task.state() == rpc::task_state_refused) {
            counters().add(method + "." + rpc::refusal_reason_Name(task.reason()));
        }
    }
}

class counting_interceptor final : public Interceptor {
public:
    explicit counting_interceptor(const ClientRpcInfo& info) : method_(short_name(info.method())) {}

    void Intercept(InterceptorBatchMethods* methods) override
    {
        if (methods->QueryInterceptionHookPoint(
                InterceptionHookPoints::PRE_SEND_INITIAL_METADATA)) {
            counters().add(method_ + ".calls");
        }
        if (methods->QueryInterceptionHookPoint(InterceptionHookPoints::POST_RECV_MESSAGE) &&
            methods->GetRecvMessage() != nullptr) {
            count_reply(methods->GetRecvMessage());
        }
        if (methods->QueryInterceptionHookPoint(InterceptionHookPoints::POST_RECV_STATUS) &&
            !methods->GetRecvStatus()->ok()) {
            counters().add(method_ + ".failed");
        }
        methods->Proceed();
    }

private:
    void count_reply(const void* message) const
    {
        if (method_ == "start") {
            count_tasks<rpc::start_reply>(method_, message);
        } else if (method_ == "revoke") {
            count_tasks<rpc::revoke_reply>(method_, message);
        }
    }

    const std::string method_;
};

class counting_interceptor_factory final : public ClientInterceptorFactoryInterface {
public:
    Interceptor* CreateClientInterceptor(ClientRpcInfo* info) override
    {
        // gRPC takes ownership.
        return std::make_unique<counting_interceptor>(*info).release();
    }
};

} // namespace

void count_calls()
{
    // gRPC keeps the pointer for the life of the process.
    static counting_interceptor_factory factory;
    grpc::experimental::RegisterGlobalClientInterceptorFactory(&factory);
}

nlohmann::json call_counts()
{
    return counters().to_json();
}

} // namespace carobfall::measure
