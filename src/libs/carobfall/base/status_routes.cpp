#include "carobfall/base/status_routes.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace carobfall {
namespace {

constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

} // namespace

void add_status_routes(http_server& server, status_sources sources,
                       const std::function<http_handler(http_handler)>& protect)
{
    server.add_route("GET", "/healthz", [](http_call& call) {
        respond(call, {{"status", "alive"}});
    });
    server.add_route("GET", "/readyz", [readiness = std::move(sources.readiness)](http_call& call) {
        const std::vector<std::string> reasons = readiness();
        const bool ready = reasons.empty();
        respond(call, {{"ready", ready}, {"reasons", reasons}}, ready ? http_ok : http_unavailable);
    });
    server.add_route("GET", "/metrics", [text = std::move(sources.metrics_text)](http_call& call) {
        call.response.status = http_ok;
        call.response.set_content(text(), "text/plain; version=0.0.4");
    });
    server.add_route("GET", "/debug/state",
                     protect([state = std::move(sources.state)](http_call& call) {
                         respond(call, {{"state", state()}});
                     }));
}

} // namespace carobfall
