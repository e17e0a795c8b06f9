#include <http/tls_settings.hpp>

#include <boost/asio/ssl/context.hpp>

namespace http {

namespace ssl = boost::asio::ssl;

base::result<tls_context> load_server_certificate(const std::string& certificate_path,
                                                  const std::string& key_path) {
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    boost::system::error_code failure;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 |
                         ssl::context::no_tlsv1_1);
    context->use_certificate_chain_file(certificate_path, failure);
    if (failure) {
        return base::error{base::error_kind::settings_invalid,
                           "certificate file " + certificate_path + " cannot be used: " + failure.message()};
    }
    context->use_private_key_file(key_path, ssl::context::pem, failure);
    if (failure) {
        return base::error{base::error_kind::settings_invalid,
                           "private key file " + key_path + " cannot be used: " + failure.message()};
    }
    return context;
}

base::result<tls_context> load_trusted_certificates(const std::string& path) {
    auto context = std::make_shared<ssl::context>(ssl::context::tls_client);
    boost::system::error_code failure;
    context->load_verify_file(path, failure);
    if (failure) {
        return base::error{base::error_kind::settings_invalid,
                           "trusted certificate file " + path + " cannot be used: " + failure.message()};
    }
    context->set_verify_mode(ssl::verify_peer);
    return context;
}

} // namespace http
