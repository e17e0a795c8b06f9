#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <http/message.hpp>
#include <http/server.hpp>
#include <http/wait_signal.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// A stand-in of the platform's store, as PROTOCOL.md describes it. It keeps copies of itself and can come
/// back from one of them, as the drill of LETTER-incident.md does. Thread safety: used by one thread only.
class store : public std::enable_shared_from_this<store> {
public:
    store(boost::asio::any_io_executor executor, base::endpoint address);

    [[nodiscard]] bool listen();
    /// Ends leases and makes copies until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Writes a key as the operator or a database does. Returns false while the store is away.
    bool put(const std::string& key, std::string value);
    bool remove(const std::string& key);
    [[nodiscard]] bool is_away() const noexcept { return server_ == nullptr; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return now_.revision_; }
    [[nodiscard]] std::uint64_t era() const noexcept { return era_; }
    [[nodiscard]] std::string value_of(const std::string& key) const;
    [[nodiscard]] std::uint64_t revision_of(const std::string& key) const;
    /// Returns the keys with a prefix.
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const;

    /// Is away for `away` and comes back from a copy that is `age` old.
    [[nodiscard]] boost::asio::awaitable<void> drill(base::clock::duration age, base::clock::duration away);

    /// Called when the store is back.
    std::function<void()> on_return_;

private:
    struct item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };
    struct lease {
        base::clock::duration length_{0};
        base::clock::time_point end_{};
    };
    struct event {
        std::string key_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::optional<std::string> value_;
        base::clock::time_point at_{};
    };
    struct image {
        std::map<std::string, item> items_;
        std::map<std::uint64_t, lease> leases_;
        std::vector<event> history_;
        std::uint64_t revision_ = 10;
        std::uint64_t last_lease_ = 0;
        /// A watch from an earlier revision is answered with 410.
        std::uint64_t history_start_ = 0;
    };
    struct handler {
        std::shared_ptr<store> store_;
        boost::asio::awaitable<http::response> operator()(http::request message,
                                                          std::size_t connection) const;
    };

    [[nodiscard]] http::response answer(unsigned status, const std::string& body) const;
    void write(const std::string& key, std::string value, std::uint64_t lease);
    void erase(const std::string& key);
    void end_leases(base::clock::time_point now);
    [[nodiscard]] std::string item_text(const std::string& key, const item& one) const;
    [[nodiscard]] http::response list(const std::string& prefix, const std::string& after) const;
    [[nodiscard]] http::response change(const std::string& body);
    boost::asio::awaitable<http::response> watch(std::string prefix, std::uint64_t after,
                                                 std::int64_t wait_ms);

    boost::asio::any_io_executor executor_;
    base::endpoint address_;
    std::shared_ptr<http::server<handler>> server_;
    image now_;
    std::deque<std::pair<base::clock::time_point, image>> copies_;
    std::uint64_t era_ = 1;
    http::wait_signal changed_;
};

} // namespace review
