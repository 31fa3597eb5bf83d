#include "carobfall/base/digest.h"

#include "carobfall/base/strings.h"

#include <absl/strings/escaping.h>
#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace carobfall {

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available in the OpenSSL library");
    }
    return absl::BytesToHexString(
        to_absl(std::string_view(reinterpret_cast<const char*>(digest.data()), size)));
}

} // namespace carobfall
