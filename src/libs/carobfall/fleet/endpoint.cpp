#include "carobfall/fleet/endpoint.h"

#include "carobfall/base/strings.h"

#include <absl/strings/numbers.h>

#include <cstdint>
#include <limits>

namespace carobfall {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos ||
        !absl::SimpleAtoi(to_absl(text.substr(colon + 1)), &port) || port == 0 ||
        port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address =
        boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    if (error) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

std::string_view ip_of(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace carobfall
