#include "carobfall/entry/connection_probe.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace carobfall {
namespace {

// Parses an IP address with a port into `storage`; returns its size, or 0 if the text is invalid.
socklen_t parse_address(const std::string& text, sockaddr_storage& storage)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) ||
        port > 0xFFFF) {
        return 0;
    }
    const std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
        sockaddr_in6 address{};
        address.sin6_family = AF_INET6;
        address.sin6_port = htons(static_cast<std::uint16_t>(port));
        const std::string number = host.substr(1, host.size() - 2);
        std::memcpy(&storage, &address, sizeof(address));
        auto* target = &reinterpret_cast<sockaddr_in6*>(&storage)->sin6_addr;
        return inet_pton(AF_INET6, number.c_str(), target) == 1 ? sizeof(address) : 0;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    std::memcpy(&storage, &address, sizeof(address));
    auto* target = &reinterpret_cast<sockaddr_in*>(&storage)->sin_addr;
    return inet_pton(AF_INET, host.c_str(), target) == 1 ? sizeof(address) : 0;
}

int error_of_pending_connect(int socket, absl::Duration timeout)
{
    pollfd waiting{socket, POLLOUT, 0};
    if (poll(&waiting, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) != 1) {
        return ETIMEDOUT;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

} // namespace

bool connection_refused(const std::string& address, absl::Duration timeout)
{
    sockaddr_storage storage{};
    const socklen_t size = parse_address(address, storage);
    if (size == 0) {
        return false;
    }
    const int socket = ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return false;
    }
    int error = 0;
    if (connect(socket, reinterpret_cast<const sockaddr*>(&storage), size) != 0) {
        error = errno == EINPROGRESS ? error_of_pending_connect(socket, timeout) : errno;
    }
    close(socket);
    return error == ECONNREFUSED;
}

} // namespace carobfall
