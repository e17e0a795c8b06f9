#pragma once

#include <base/endpoint.hpp>
#include <http/line_socket.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace stand_ins {

/// A statement that a database ran, as a test looks at it.
struct seen_statement {
    std::string id_;
    std::string text_;
    /// The values that the connection's session had set.
    std::map<std::string, std::string> values_;

    friend auto operator<=>(const seen_statement&, const seen_statement&) = default;
};

/// A stand-in of a database that speaks the platform's line protocol. All databases of a group share one log;
/// a replica that lags answers reads from an earlier position. Thread safety: used by the thread of its
/// executor only. Lifetime: held by a `std::shared_ptr`.
class line_database : public std::enable_shared_from_this<line_database> {
public:
    line_database(boost::asio::any_io_executor executor, std::string service, std::string id);

    [[nodiscard]] bool listen(const base::endpoint& local);
    /// Closes the listener and every connection, as a crash does.
    void crash();

    void set_primary(bool is_primary, std::uint64_t term);
    /// Sets where the log stands.
    void set_position(std::uint64_t number) { number_ = number; }
    /// Runs writes from now on without answering, and closes their connections.
    void set_losing_answers(bool is_losing) { is_losing_ = is_losing; }
    [[nodiscard]] const std::vector<seen_statement>& seen() const noexcept { return seen_; }
    [[nodiscard]] std::uint64_t position() const noexcept { return number_; }

private:
    struct session {
        std::shared_ptr<http::line_socket> socket_;
        std::map<std::string, std::string> values_;
        std::map<std::string, std::string> prepared_;
        char state_ = 'I';
    };

    boost::asio::awaitable<void> accept(std::shared_ptr<line_database> self);
    boost::asio::awaitable<void> serve(std::shared_ptr<line_database> self,
                                       std::shared_ptr<http::line_socket> socket);
    /// Returns the answer to a text; empty to close the connection without one.
    std::string answer(session& current, const std::string& id, std::string text);
    std::string run(session& current, const std::string& id, const std::string& text);
    [[nodiscard]] std::string ready(const session& current) const;
    [[nodiscard]] std::string position_text() const;

    struct listening;

    boost::asio::any_io_executor executor_;
    std::string service_;
    std::string id_;
    std::shared_ptr<listening> listening_;
    std::vector<std::weak_ptr<http::line_socket>> sockets_;
    std::vector<seen_statement> seen_;
    bool is_primary_ = false;
    bool is_losing_ = false;
    std::uint64_t term_ = 1;
    std::uint64_t number_ = 1;
};

} // namespace stand_ins
