#include <http/client_connection.hpp>
#include <http/server.hpp>
#include <http/tls_settings.hpp>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

namespace {

namespace asio = boost::asio;

constexpr base::clock::duration time_limit{5'000};
const base::endpoint local{"127.0.0.1", 19'102};

struct echo_handler {
    asio::awaitable<http::response> operator()(http::request message, std::size_t /*connection*/) {
        co_return http::json_response(200, message->body_);
    }
};

/// A self-signed certificate and its key in files that end with the test.
class certificate_files {
public:
    certificate_files()
        : folder_{std::filesystem::temp_directory_path() / ("test_tls_" + std::to_string(::getpid()))} {
        std::filesystem::create_directory(folder_);
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{EVP_EC_gen("P-256"), EVP_PKEY_free};
        const std::unique_ptr<X509, decltype(&X509_free)> certificate{X509_new(), X509_free};
        constexpr long validity_seconds = 3'600;
        ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validity_seconds);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validity_seconds);
        X509_set_pubkey(certificate.get(), key.get());
        auto* name = X509_get_subject_name(certificate.get());
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
        X509_set_issuer_name(certificate.get(), name);
        X509_sign(certificate.get(), key.get(), EVP_sha256());
        write(certificate_path(), [&](FILE* file) { PEM_write_X509(file, certificate.get()); });
        write(key_path(), [&](FILE* file) {
            PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }
    ~certificate_files() { std::filesystem::remove_all(folder_); }
    certificate_files(const certificate_files&) = delete;
    certificate_files& operator=(const certificate_files&) = delete;
    certificate_files(certificate_files&&) = delete;
    certificate_files& operator=(certificate_files&&) = delete;

    [[nodiscard]] std::string certificate_path() const { return folder_ / "certificate.pem"; }
    [[nodiscard]] std::string key_path() const { return folder_ / "key.pem"; }

private:
    template <typename Writer>
    static void write(const std::string& path, Writer writer) {
        const std::unique_ptr<FILE, decltype(&std::fclose)> file{std::fopen(path.c_str(), "w"), std::fclose};
        writer(file.get());
    }

    std::filesystem::path folder_;
};

} // namespace

// Guards against a TLS port that serves nobody, serves plain text, or is trusted without its certificate.
TEST(tls, only_a_client_that_trusts_the_certificate_is_served) {
    const certificate_files files;
    const auto server_tls = http::load_server_certificate(files.certificate_path(), files.key_path());
    const auto trusting = http::load_trusted_certificates(files.certificate_path());
    ASSERT_TRUE(server_tls);
    ASSERT_TRUE(trusting);
    asio::io_context context;
    auto socket = http::listener::open(context.get_executor(), local);
    ASSERT_TRUE(socket);
    const auto running = std::make_shared<http::server<echo_handler>>(
        context.get_executor(), std::move(*socket), echo_handler{}, http::limits{}, *server_tls, 10);
    running->start();
    bool finished = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto message = http::json_post("/echo", "secret");
            auto trusted = co_await http::client_connection::connect(local, time_limit, *trusting);
            EXPECT_TRUE(trusted);
            if (trusted) {
                const auto response = co_await trusted->exchange(message, time_limit);
                EXPECT_TRUE(response);
                EXPECT_EQ(response ? (*response)->body_ : "", "secret");
            }
            auto plain = co_await http::client_connection::connect(local, time_limit);
            EXPECT_TRUE(plain);
            const auto refused = co_await plain->exchange(message, time_limit);
            EXPECT_FALSE(refused);
            finished = true;
            running->close();
        },
        asio::detached);
    context.run_for(std::chrono::seconds{20});
    EXPECT_TRUE(finished);
}

// Guards against a daemon that starts without the certificate that its settings name.
TEST(tls, missing_files_are_an_error_that_names_them) {
    const auto missing =
        http::load_server_certificate("/nonexistent/certificate.pem", "/nonexistent/key.pem");
    ASSERT_FALSE(missing);
    EXPECT_EQ(missing.last_reason().kind(), base::error_kind::settings_invalid);
    EXPECT_NE(missing.last_reason().message().find("certificate.pem"), std::string::npos);
}
