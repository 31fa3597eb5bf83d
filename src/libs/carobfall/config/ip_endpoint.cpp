#include "carobfall/config/ip_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace carobfall {
namespace {

bool is_ip_address(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, text.c_str(), address.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, port);
    if (code != std::errc() || rest != end) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::optional<std::uint16_t> port = parse_port(text.substr(colon + 1));
    int family = AF_INET;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    std::string ip(host);
    if (!port || !is_ip_address(family, ip)) {
        return std::nullopt;
    }
    return ip_endpoint{std::move(ip), *port};
}

bool is_ip_endpoint(std::string_view text)
{
    const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(text);
    return endpoint && endpoint->ip != "0.0.0.0" && endpoint->ip != "::";
}

bool is_peer_endpoint(std::string_view text)
{
    return is_ip_endpoint(text) && parse_ip_endpoint(text)->port != 0;
}

} // namespace carobfall
