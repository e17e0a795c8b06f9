#pragma once

#include <backends/connection_content.hpp>
#include <backends/database_listing.hpp>
#include <backends/database_protocol.hpp>
#include <backends/statement_response.hpp>
#include <base/clock.hpp>
#include <base/result.hpp>
#include <http/line_socket.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace backends {

/// Bounds of a connection to a database.
struct connection_timeouts {
    /// How long opening may take, with the database's answer to the start.
    base::clock::duration open_timeout_{300};
    /// How long sent bytes may stay unacknowledged by the database's host before the connection is given up.
    base::clock::duration unacknowledged_timeout_{600};

    friend auto operator<=>(const connection_timeouts&, const connection_timeouts&) = default;
};

/// Why a connection was not opened.
struct open_failure {
    statement_status status_ = statement_status::unknown;
    std::string detail_;

    friend auto operator<=>(const open_failure&, const open_failure&) = default;
};

/// A connection to a database that carries one statement at a time.
///
/// Once a statement has no whole answer the connection is closed for good, so that a late answer never
/// reaches another statement. Thread safety: used by the thread of its executor only.
template <database_protocol Protocol>
class statement_connection {
public:
    using pointer = std::shared_ptr<statement_connection>;

    /// Connects and starts a session at the database, which checks its service and identifier. A failure is
    /// written to `failure`.
    [[nodiscard]] static boost::asio::awaitable<pointer> open(boost::asio::any_io_executor executor,
                                                              database_listing database,
                                                              connection_timeouts times,
                                                              open_failure& failure) {
        auto created = pointer{new statement_connection{executor, database->id_}};
        auto& socket = created->socket_;
        if (!co_await socket.connect(database->address_, times.open_timeout_,
                                     times.unacknowledged_timeout_)) {
            failure = {statement_status::unknown, "no connection to " + database->address_.to_string()};
            co_return nullptr;
        }
        auto line = Protocol::start_connection(database->service_, database->id_);
        socket.expires_after(times.open_timeout_);
        statement_response reply;
        if (co_await socket.write(std::move(line))) {
            reply = co_await created->read_reply();
        }
        socket.expires_never();
        if (reply.status_ != statement_status::done || !socket.is_open()) {
            failure = {reply.status_, reply.detail_};
            socket.close();
            co_return nullptr;
        }
        created->position_ = reply.position_;
        co_return created;
    }

    /// Sends messages and returns the reply to the last one. An earlier one that does not succeed closes the
    /// connection, and its reply is returned. A lost answer gives the status `unknown` and a closed
    /// connection. If the connection was closed before anything was sent, the status is `overloaded`.
    /// Precondition: no other statement is under way.
    [[nodiscard]] boost::asio::awaitable<statement_response> run(std::string messages, std::size_t count,
                                                                 base::clock::time_point expires_at) {
        if (!socket_.is_open()) {
            co_return make_response(statement_status::overloaded, "the connection was closed",
                                    transaction_state::none);
        }
        socket_.expires_at(expires_at);
        statement_response reply;
        if (co_await socket_.write(std::move(messages))) {
            for (std::size_t answered = 0; answered < count; ++answered) {
                reply = co_await read_reply();
                const bool is_last = answered + 1 == count;
                if (!is_last && reply.status_ != statement_status::done) {
                    socket_.close();
                    break;
                }
                if (!socket_.is_open()) {
                    break;
                }
            }
        } else {
            socket_.close();
        }
        socket_.expires_never();
        has_timed_out_ = socket_.has_expired();
        co_return reply;
    }

    void close() noexcept { socket_.close(); }
    [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }
    /// Returns whether the peer has closed an idle connection or sent something unasked.
    [[nodiscard]] bool is_stale() const noexcept { return socket_.has_pending_input(); }
    /// Returns whether the last statement was given up because its time had passed.
    [[nodiscard]] bool has_timed_out() const noexcept { return has_timed_out_; }
    [[nodiscard]] const std::string& database() const noexcept { return database_; }
    /// Returns the database's position when the connection was opened.
    [[nodiscard]] const std::optional<base::log_position>& first_position() const noexcept {
        return position_;
    }

    [[nodiscard]] connection_content& content() noexcept { return content_; }
    [[nodiscard]] base::clock::time_point idle_since() const noexcept { return idle_since_; }
    void set_idle_since(base::clock::time_point now) noexcept { idle_since_ = now; }

private:
    statement_connection(const boost::asio::any_io_executor& executor, std::string database)
        : socket_{executor}, database_{std::move(database)} {}

    /// Reads the lines of one answer. The connection is closed if they end early.
    [[nodiscard]] boost::asio::awaitable<statement_response> read_reply() {
        statement_response reply;
        bool has_status = false;
        for (;;) {
            const auto line = co_await socket_.read_line(Protocol::max_line_bytes);
            auto decoded = line ? Protocol::decode_database(*line) : database_line{};
            switch (decoded.kind_) {
            case database_line_kind::row:
                reply.rows_.push_back(std::move(decoded.text_));
                break;
            case database_line_kind::complete:
                reply.status_ = statement_status::done;
                reply.detail_ = std::move(decoded.text_);
                has_status = true;
                break;
            case database_line_kind::error:
                reply.status_ = decoded.status_;
                reply.detail_ = std::move(decoded.text_);
                has_status = true;
                break;
            case database_line_kind::ready:
                // The answer to the start of a connection has no status line.
                reply.status_ = has_status ? reply.status_ : statement_status::done;
                reply.state_ = decoded.state_;
                reply.position_ = decoded.position_;
                co_return reply;
            case database_line_kind::unreadable:
                socket_.close();
                // A start that is refused ends with its error; any other answer is lost.
                reply.status_ =
                    has_status && has_not_run(reply.status_) ? reply.status_ : statement_status::unknown;
                reply.rows_.clear();
                co_return reply;
            }
        }
    }

    http::line_socket socket_;
    std::string database_;
    connection_content content_;
    std::optional<base::log_position> position_;
    base::clock::time_point idle_since_{};
    bool has_timed_out_ = false;
};

} // namespace backends
