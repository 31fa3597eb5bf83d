#include "platform_server.h"

#include <absl/strings/escaping.h>
#include <absl/time/clock.h>

namespace carobfall::testing {
namespace {

using nlohmann::json;

constexpr std::size_t server_threads = 64;
constexpr const char* json_type = "application/json";
constexpr const char* object_pattern = "/v1/objects/([^/]+)";

void respond(httplib::Response& response, int status, const json& body)
{
    response.status = status;
    response.set_content(body.dump(), json_type);
}

void respond_with_error(httplib::Response& response, int status, const char* name)
{
    respond(response, status, {{"error", name}});
}

/// Announces a body and closes the connection instead of sending it.
void break_connection(httplib::Response& response)
{
    response.set_content_provider(
        1, json_type, [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

json to_json(const table_row& row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

} // namespace

platform_server::platform_server()
{
    server_.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    add_table_routes();
    add_object_routes();
    add_control_routes();
}

result<void> platform_server::open_data(const std::string& directory)
{
    const std::lock_guard lock(mutex_);
    return journal_.open(directory, [this](const json& change) { apply(change); });
}

result<std::uint16_t> platform_server::start(const std::string& ip, std::uint16_t port)
{
    const std::uint16_t bound = thread_.start(ip, port);
    if (bound == 0) {
        return failure(error_kind::unavailable, "the address can't be bound", "choose another");
    }
    return bound;
}

void platform_server::set_faults(const platform_faults& faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

void platform_server::add_table_routes()
{
    const auto add = [this](const char* path, bool is_write, handler function) {
        server_.Post(path, [=, this](const httplib::Request& request, httplib::Response& response) {
            serve(request, response, is_write, function);
        });
    };
    add("/v1/table/read", false, &platform_server::read);
    add("/v1/table/scan", false, &platform_server::scan);
    add("/v1/table/commit", true, &platform_server::commit);
}

void platform_server::add_object_routes()
{
    const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
        serve_object(request, response);
    };
    server_.Get(object_pattern, serve);
    server_.Put(object_pattern, serve);
    server_.Delete(object_pattern, serve);
}

void platform_server::add_control_routes()
{
    server_.Put("/control/faults", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body, nullptr, false);
        const std::lock_guard lock(mutex_);
        json merged = faults_;
        merged.merge_patch(body);
        try {
            faults_ = merged.get<platform_faults>();
            respond(response, 200, faults_);
        } catch (const json::exception&) {
            respond_with_error(response, 400, "invalid");
        }
    });
    server_.Get("/control/faults", [this](const auto&, auto& response) {
        const std::lock_guard lock(mutex_);
        respond(response, 200, faults_);
    });
}

void platform_server::serve(const httplib::Request& request, httplib::Response& response,
                            bool is_write, handler function)
{
    if (!admit(response, is_write)) {
        return;
    }
    try {
        const json reply = (this->*function)(json::parse(request.body));
        if (reply.contains("error")) {
            respond(response, reply["error"] == "conflict" ? 409 : 503, reply);
        } else if (is_write && take_lost_answer()) {
            break_connection(response);
        } else {
            respond(response, 200, reply);
        }
    } catch (const json::exception&) {
        respond_with_error(response, 400, "invalid");
    }
}

void platform_server::serve_object(const httplib::Request& request, httplib::Response& response)
{
    const std::string name = request.matches[1];
    if (!admit(response, request.method != "GET")) {
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto change = [&](const json& body) {
        if (!record({{"object", name}, {"body", body}})) {
            respond_with_error(response, 503, "unavailable");
        }
    };
    if (request.method == "PUT") {
        change(absl::Base64Escape(request.body)); // JSON requires UTF-8; the body may be binary
    } else if (objects_.count(name) == 0) {
        respond_with_error(response, 404, "not_found");
    } else if (request.method == "GET") {
        response.set_content(objects_[name], "application/octet-stream");
    } else {
        change(nullptr);
    }
}

void platform_server::apply(const json& change)
{
    if (change.contains("object")) {
        const auto name = change.at("object").get<std::string>();
        std::string body;
        if (change.at("body").is_null()) {
            objects_.erase(name);
        } else if (absl::Base64Unescape(change.at("body").get<std::string>(), &body)) {
            objects_[name] = std::move(body);
        }
        return;
    }
    for (const json& write : change.at("writes")) {
        const auto key = write.at("key").get<std::string>();
        if (write.at("value").is_null()) {
            rows_.erase(key);
        } else {
            rows_[key] = {key, write.at("value").get<std::string>(), ++last_version_};
        }
    }
}

bool platform_server::record(const json& change)
{
    if (!journal_.append(change)) {
        return false;
    }
    apply(change);
    return true;
}

bool platform_server::admit(httplib::Response& response, bool is_write)
{
    absl::Duration delay;
    {
        const std::lock_guard lock(mutex_);
        if (faults_.outage) {
            respond_with_error(response, 503, "unavailable");
            return false;
        }
        rate_limit& limit = is_write ? writes_ : reads_;
        if (!limit.take(is_write ? faults_.writes_per_second : faults_.reads_per_second,
                        absl::Now())) {
            respond_with_error(response, 429, "throttled");
            return false;
        }
        delay = absl::Milliseconds(faults_.delay_ms + (is_write ? faults_.sync_ms : 0));
    }
    absl::SleepFor(delay);
    return true;
}

bool platform_server::take_lost_answer()
{
    const std::lock_guard lock(mutex_);
    if (faults_.lost_answers == 0) {
        return false;
    }
    --faults_.lost_answers;
    return true;
}

json platform_server::read(const json& request)
{
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find(request.at("key").get<std::string>());
    return {{"row", found == rows_.end() ? json() : to_json(found->second)}};
}

json platform_server::scan(const json& request)
{
    const auto prefix = request.at("prefix").get<std::string>();
    json rows = json::array();
    const std::lock_guard lock(mutex_);
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix);
         ++row) {
        rows.push_back(to_json(row->second));
    }
    return {{"rows", std::move(rows)}};
}

json platform_server::commit(const json& request)
{
    const std::lock_guard lock(mutex_);
    for (const json& condition : request.at("conditions")) {
        const auto found = rows_.find(condition.at("key").get<std::string>());
        const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
        if (version != condition.at("version").get<std::uint64_t>()) {
            return {{"error", "conflict"}};
        }
    }
    json writes = json::array();
    for (const json& write : request.at("writes")) {
        // The journal gets only the validated fields, so that each line of it can be replayed.
        const json& value = write.at("value");
        writes.push_back({{"key", write.at("key").get<std::string>()},
                          {"value", value.is_null() ? json() : json(value.get<std::string>())}});
    }
    if (!record({{"writes", std::move(writes)}})) {
        return {{"error", "unavailable"}};
    }
    return json::object();
}

} // namespace carobfall::testing
