#include <proxy/fingerprint.hpp>

#include <base/sha256.hpp>

#include <string_view>

namespace proxy {

namespace {

void append_length_prefixed(std::string& content, std::string_view part) {
    content.append(std::to_string(part.size())).append(":").append(part);
}

} // namespace

std::string fingerprint_of(const base::request& request) {
    std::string content;
    append_length_prefixed(content, request->service_);
    append_length_prefixed(content, request->tenant_);
    for (const auto& statement : request->statements_) {
        append_length_prefixed(content, statement);
    }
    return base::sha256_of(content);
}

std::string recorded_key_of(const base::request& request) {
    std::string key;
    append_length_prefixed(key, request->tenant_);
    key.append(*request->idempotency_key_);
    return key;
}

} // namespace proxy
