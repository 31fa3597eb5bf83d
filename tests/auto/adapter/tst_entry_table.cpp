#include "carobfall/base/async_http_server.h"
#include "carobfall/base/spawn.h"
#include "platform/entry_directory.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

using namespace carobfall;
using namespace carobfall::platform;
namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Answers reads of a table with pages of the rows, in the protocol of the platform's store.
class table_store {
public:
    explicit table_store(asio::io_context& context)
        : endpoint_(free_endpoint(context)),
          log_("store", "mapo"),
          server_(
              context.get_executor(),
              [this](const async_http_request& request,
                     caller_watch&) -> asio::awaitable<async_http_response> {
                  co_return async_http_response{200, page(std::string(request.target())), "", ""};
              },
              log_)
    {
        server_.start(endpoint_);
    }

    [[nodiscard]] const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
    /// Waits until all connections have ended: the server counts them until then.
    void wait_for_idle(asio::io_context& context) const
    {
        for (int i = 0; i < 500 && server_.connections() > 0; ++i) {
            context.run_for(std::chrono::milliseconds(10));
        }
        CHECK(server_.connections() == 0);
    }

    std::map<std::string, std::string> rows; ///< value by key
    std::size_t rows_per_page{500};
    std::size_t reads{0};

private:
    static asio::ip::tcp::endpoint free_endpoint(asio::io_context& context)
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
        return acceptor.local_endpoint();
    }
    /// Keys in the tests need no decoding but for the terminator that follows the last key.
    static std::string from_of(const std::string& target)
    {
        const std::size_t start = target.find("&from=");
        if (start == std::string::npos) {
            return "";
        }
        std::string from = target.substr(start + 6);
        const std::size_t terminator = from.find("%00");
        return terminator == std::string::npos ? from : from.substr(0, terminator) + '\0';
    }
    std::string page(const std::string& target)
    {
        ++reads;
        json listed = json::array();
        auto row = rows.lower_bound(from_of(target));
        for (; row != rows.end() && listed.size() < rows_per_page; ++row) {
            listed.push_back({{"key", row->first},
                              {"value", absl::Base64Escape(row->second)},
                              {"schema_version", 1}});
        }
        return json{{"rows", listed},
                    {"has_more", row != rows.end()},
                    {"schema_version", 7},
                    {"now_ms", 1000}}
            .dump();
    }

    asio::ip::tcp::endpoint endpoint_;
    event_log log_;
    async_http_server server_;
};

/// Reads the directory until it has passed on a list of addresses.
std::vector<std::string> read_addresses(asio::io_context& context, entry_directory& directory)
{
    std::vector<std::string> addresses;
    bool read = false;
    spawn(context.get_executor(), directory.follow(
                                      [&](const std::vector<std::string>& list) {
                                          addresses = list;
                                          read = true;
                                      },
                                      [] { return absl::Hours(1); }));
    for (int i = 0; i < 500 && !read; ++i) {
        context.run_for(std::chrono::milliseconds(10));
    }
    CHECK(read);
    return addresses;
}

} // namespace

// Guards against entries that nobody finds because rows of another writer precede theirs, and
// against a process that ends or stops reading because of such a row.
TEST_CASE("the addresses of entries are read past odd rows and past the end of a page")
{
    asio::io_context context{1};
    table_store store(context);
    store.rows_per_page = 7;
    for (int i = 0; i < 40; ++i) {
        store.rows[absl::StrCat("0odd-", i)] = std::string(1000, '[');
    }
    store.rows["10.0.0.1.99999"] = "{}";
    store.rows["10.0.0.1.x"] = R"({"written_ms":18446744073709551615})";
    store.rows["10.0.0.2%3a7340"] = R"({"written_ms":-9223372036854775808})";
    store.rows["9:9"] = "\xff";
    event_log log("agent", "mapo");
    metrics_registry metrics;
    store.rows["10.0.0.3:7340"] = R"({"written_ms":1e308})";
    store.rows["10.0.0.4:65536"] = "{}";
    store.rows["99.0.0.9:7340"] = R"({"written_ms":5})";
    {
        store_client client(context.get_executor(), store.endpoint());
        entry_directory directory(context.get_executor(), client, log, metrics);
        CHECK(read_addresses(context, directory) ==
              std::vector<std::string>{"10.0.0.3:7340", "99.0.0.9:7340"});
    }
    store.wait_for_idle(context);
    CHECK(store.reads > 1);
    CHECK(metrics.to_text().find("rows_malformed_total{table=\"entries\"} 45") !=
          std::string::npos);
}
