#pragma once

#include <base/result.hpp>

#include <memory>
#include <string>

namespace boost::asio::ssl {
class context;
}

namespace http {

/// TLS configuration, shared by all connections that use the same certificate; null means plain TCP.
using tls_context = std::shared_ptr<boost::asio::ssl::context>;

/// Returns a server context with a certificate chain and private key from PEM files.
/// Errors: `settings_invalid`.
[[nodiscard]] base::result<tls_context> load_server_certificate(const std::string& certificate_path,
                                                                const std::string& key_path);

/// Returns a client context that trusts only the certificates in a PEM file. Errors: `settings_invalid`.
[[nodiscard]] base::result<tls_context> load_trusted_certificates(const std::string& path);

} // namespace http
