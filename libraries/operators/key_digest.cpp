#include <operators/key_digest.hpp>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace operators {

namespace {

constexpr std::size_t secret_bytes = 32;
using secret = std::array<std::uint8_t, secret_bytes>;

const secret& process_secret() {
    static const secret value = [] {
        secret bytes{};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
            throw std::runtime_error{"no random bytes for the digests of API keys"};
        }
        return bytes;
    }();
    return value;
}

} // namespace

key_digest key_digest::of(std::string_view api_key) {
    key_digest digest;
    unsigned int length = 0;
    HMAC(EVP_sha256(), process_secret().data(), static_cast<int>(secret_bytes),
         reinterpret_cast<const unsigned char*>(api_key.data()), api_key.size(), digest.bytes_.data(),
         &length);
    return digest;
}

} // namespace operators
