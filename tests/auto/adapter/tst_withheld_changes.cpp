#include "reader_fixture.h"

#include "carobfall/base/async_http_server.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

using namespace carobfall;
using namespace carobfall::platform;
namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Store with a feed that may withhold changes and then forget them, as the platform's store does
/// when it drops its history.
class forgetful_store {
public:
    explicit forgetful_store(asio::io_context& context)
        : context_(context),
          endpoint_(free_endpoint(context)),
          log_("store", "mapo"),
          server_(
              context.get_executor(),
              [this](const async_http_request& request,
                     caller_watch&) -> asio::awaitable<async_http_response> {
                  co_return co_await answer(std::string(request.target()));
              },
              log_)
    {
        server_.start(endpoint_);
    }

    void put(const std::string& key, const std::string& value)
    {
        rows_[key] = {
            {"key", key}, {"value", absl::Base64Escape(value)}, {"schema_version", ++version_}};
    }
    void put_configuration(int version)
    {
        put("config", absl::StrCat(R"({"version":)", version, R"(,"routes":[]})"));
    }
    void withhold() { withholds_ = true; }
    void drop_history()
    {
        withholds_ = false;
        oldest_ = version_;
    }
    [[nodiscard]] const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }

private:
    static asio::ip::tcp::endpoint free_endpoint(asio::io_context& context)
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
        return acceptor.local_endpoint();
    }
    static std::int64_t parameter(const std::string& target, const std::string& name)
    {
        return std::stoll(target.substr(target.find(name) + name.size()));
    }
    [[nodiscard]] json rows_after(std::uint64_t version) const
    {
        json changed = json::array();
        for (const auto& [key, row] : rows_) {
            if (row.at("schema_version").get<std::uint64_t>() > version) {
                changed.push_back(row);
            }
        }
        return changed;
    }
    asio::awaitable<async_http_response> answer(const std::string target)
    {
        if (!target.starts_with("/api/rows-feed")) {
            co_return page(rows_after(0));
        }
        const auto after = static_cast<std::uint64_t>(parameter(target, "&after="));
        const absl::Time end = boot_now() + absl::Milliseconds(parameter(target, "&wait_ms="));
        asio::steady_timer timer(context_);
        while (boot_now() < end) {
            if (after < oldest_) {
                co_return async_http_response{410, "{}", "application/json", ""};
            }
            if (!withholds_ && !rows_after(after).empty()) {
                co_return page(rows_after(after));
            }
            timer.expires_after(std::chrono::milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return page(json::array());
    }
    [[nodiscard]] async_http_response page(const json& rows) const
    {
        const json body = {{"rows", rows}, {"schema_version", version_}, {"now_ms", 0}};
        return {200, body.dump(), "application/json", ""};
    }

    asio::io_context& context_;
    asio::ip::tcp::endpoint endpoint_;
    event_log log_;
    async_http_server server_;
    std::map<std::string, json> rows_;
    std::uint64_t version_{0};
    std::uint64_t oldest_{0}; ///< oldest version from which the feed continues
    bool withholds_{false};
};

struct withheld_changes_fixture : test::reader_fixture<forgetful_store> {
    /// Makes the change to version 2 while the feed withholds it.
    withheld_changes_fixture()
    {
        constexpr absl::Duration feed_wait = absl::Milliseconds(100);
        store.put_configuration(1);
        start(feed_wait);
        REQUIRE(run_until_configuration(1));
        store.withhold();
        store.put_configuration(2);
        run_for(3 * feed_wait);
        store.drop_history();
    }
};

} // namespace

// Guards against peers that take the earlier configuration of a process that can't read the latest
// one, for example because it is of an earlier version, for the later one.
TEST_CASE("an unreadable configuration does not replace the one of a peer that could read it")
{
    test::reader_fixture<forgetful_store> test;
    test.store.put_configuration(1);
    test.start(absl::Milliseconds(100));
    REQUIRE(test.run_until_configuration(1));
    test.store.put("config", "{");
    test.run_for(absl::Milliseconds(300));
    fleet::operator_state of_peer;
    of_peer.set_version(test.store.version());
    of_peer.set_configuration_version(2);
    CHECK(test.view.state().configuration_version() == 1);
    CHECK(test.view.adopt(of_peer, boot_now()));
    test.store.put("evacuate/guro", "{}");
    CHECK(test.run_until([&] { return test.view.is_out("guro"); }, absl::Seconds(3)));
    CHECK(test.view.state().configuration_version() == 2);
    test.store.put_configuration(3);
    CHECK(test.run_until_configuration(3));
    CHECK(test.view.is_out("guro"));
}

TEST_CASE("a change that the feed withholds until it drops its history is read")
{
    withheld_changes_fixture test;
    CHECK(test.run_until_configuration(2));
}

// Guards against a process that missed a change and publishes its older rows under the version of
// a later change of another row, which all its peers then adopt.
TEST_CASE("a configuration does not revert when another row changes after a withheld change")
{
    withheld_changes_fixture test;
    fleet::operator_state of_peer;
    of_peer.set_version(test.store.version());
    of_peer.set_configuration_version(2);
    test.view.adopt(of_peer, boot_now());
    bool reverted = false;
    test.view.on_change(
        [&] { reverted = reverted || test.view.state().configuration_version() < 2; });
    test.store.put("evacuate/guro", "{}");
    CHECK(test.run_until([&] { return test.view.is_out("guro"); }, absl::Seconds(3)));
    CHECK_FALSE(reverted);
}
