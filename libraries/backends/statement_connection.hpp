#pragma once

#include <backends/connection_content.hpp>
#include <backends/connection_number.hpp>
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

/// Timeouts of a connection to a database.
struct connection_timeouts {
    /// Maximum time for connecting, and again for the database's response to the start message.
    base::clock::duration open_timeout_{300};
    /// How long sent data may remain unacknowledged by the database's host before the connection is closed.
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
/// A statement without a complete response closes the connection permanently, so that a late response is
/// never taken for the response to another statement. Thread safety: used by the thread of its executor only.
template <database_protocol Protocol>
class statement_connection {
public:
    using pointer = std::shared_ptr<statement_connection>;

    /// Connects and starts a session of a tenant at the database, which checks its service and identifier.
    /// A failure is written to `failure`. Responses are read as far as `budget` allows; null sets no bound.
    [[nodiscard]] static boost::asio::awaitable<pointer>
    open(boost::asio::any_io_executor executor, database_listing database, std::string tenant,
         connection_timeouts timeouts, open_failure& failure, base::memory_budget* budget = nullptr) {
        auto created = pointer{new statement_connection{executor, database->id_, std::move(tenant), budget}};
        auto& socket = created->socket_;
        if (!co_await socket.connect(database->address_, timeouts.open_timeout_,
                                     timeouts.unacknowledged_timeout_)) {
            failure = {statement_status::unknown, "no connection to " + database->address_.to_string()};
            co_return nullptr;
        }
        const auto requested_at = base::clock::now();
        auto line = Protocol::start_connection(database->service_, created->tenant_, database->id_);
        socket.expires_after(timeouts.open_timeout_);
        statement_response response;
        if (co_await socket.write(std::move(line))) {
            response = co_await created->read_response();
        }
        socket.expires_never();
        if (response.status_ != statement_status::done || !socket.is_open()) {
            failure = {response.status_, response.detail_};
            socket.close();
            co_return nullptr;
        }
        response.requested_at_ = requested_at;
        created->first_position_ = response.dated_position();
        co_return created;
    }

    /// Sends `count` messages and returns the response to the last one. If an earlier one does not succeed,
    /// closes the connection and returns the response to that one. If a response is lost, closes the
    /// connection and returns the status `unknown`. If the database lacks a prepared statement that it should
    /// hold, closes the connection, as the record of its content is wrong. If the connection was already
    /// closed, returns `overloaded` and sends nothing. Precondition: no other statement is in flight.
    [[nodiscard]] boost::asio::awaitable<statement_response> run(std::string messages, std::size_t count,
                                                                 base::clock::time_point deadline) {
        const auto requested_at = base::clock::now();
        statement_response response;
        if (socket_.is_open()) {
            response = co_await exchange(std::move(messages), count, deadline);
        } else {
            response = make_response(statement_status::overloaded, "the connection was closed",
                                     transaction_state::none);
        }
        response.requested_at_ = requested_at;
        co_return response;
    }

    void close() noexcept { socket_.close(); }
    [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }
    /// Returns whether the peer has closed an idle connection or sent unsolicited data.
    [[nodiscard]] bool is_stale() const noexcept { return socket_.has_pending_input(); }
    /// Returns whether the last statement was cancelled because its deadline had passed.
    [[nodiscard]] bool has_timed_out() const noexcept { return has_timed_out_; }
    [[nodiscard]] const std::string& database() const noexcept { return database_; }
    /// Returns the tenant that the database was told; empty for none.
    [[nodiscard]] const std::string& tenant() const noexcept { return tenant_; }
    /// Returns a number that identifies the connection in the log of this process.
    [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
    /// Returns the log position of the database when the connection was opened.
    [[nodiscard]] const std::optional<reported_position>& first_position() const noexcept {
        return first_position_;
    }

    [[nodiscard]] connection_content& content() noexcept { return content_; }
    [[nodiscard]] base::clock::time_point idle_since() const noexcept { return idle_since_; }
    void set_idle_since(base::clock::time_point now) noexcept { idle_since_ = now; }

private:
    statement_connection(const boost::asio::any_io_executor& executor, std::string database,
                         std::string tenant, base::memory_budget* budget)
        : socket_{executor}, database_{std::move(database)}, tenant_{std::move(tenant)}, budget_{budget} {
        socket_.limit_input(budget, base::memory_part::responses);
    }

    /// Counts a row against the memory of the process. It is in memory already and was counted as input,
    /// which the next read releases; that read waits while the memory is used up. The deadline of the
    /// statement closes the connection, which ends the wait.
    void count_row(statement_response& response) {
        const auto bytes = response.rows_.back().size() + (response.hold_ ? response.hold_->bytes() : 0);
        if (budget_ == nullptr || bytes <= uncounted_bytes) {
            return;
        }
        if (!response.hold_) {
            response.hold_ = std::make_shared<base::memory_hold>(budget_, base::memory_part::responses);
        }
        response.hold_->resize(bytes);
    }

    /// Sends messages and reads their responses, see `run`.
    [[nodiscard]] boost::asio::awaitable<statement_response> exchange(std::string messages, std::size_t count,
                                                                      base::clock::time_point deadline) {
        socket_.expires_at(deadline);
        statement_response response;
        if (co_await socket_.write(std::move(messages))) {
            for (std::size_t received = 0; received < count; ++received) {
                response = co_await read_response();
                const bool is_last = received + 1 == count;
                if (!is_last && response.status_ != statement_status::done) {
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
        if (response.status_ == statement_status::unknown_prepared) {
            socket_.close();
        }
        socket_.expires_never();
        has_timed_out_ = socket_.has_expired();
        co_return response;
    }

    /// Reads the lines of one response. Closes the connection if the response is incomplete.
    [[nodiscard]] boost::asio::awaitable<statement_response> read_response() {
        statement_response response;
        bool has_status = false;
        for (;;) {
            const auto line = co_await socket_.read_line(Protocol::max_line_bytes);
            auto decoded = line ? Protocol::decode_database(*line) : database_line{};
            switch (decoded.kind_) {
            case database_line_kind::row:
                response.rows_.push_back(std::move(decoded.text_));
                count_row(response);
                break;
            case database_line_kind::complete:
                response.status_ = statement_status::done;
                response.detail_ = std::move(decoded.text_);
                has_status = true;
                break;
            case database_line_kind::error:
                response.status_ = decoded.status_;
                response.detail_ = std::move(decoded.text_);
                has_status = true;
                break;
            case database_line_kind::ready:
                // The response to the start message of a connection has no status line.
                response.status_ = has_status ? response.status_ : statement_status::done;
                response.state_ = decoded.state_;
                response.position_ = decoded.position_;
                co_return response;
            case database_line_kind::unreadable:
                socket_.close();
                // A refused start message is answered by an error line only. In any other case the response
                // is lost.
                response.status_ = has_status && has_not_run(response.status_) ? response.status_
                                                                               : statement_status::unknown;
                response.rows_.clear();
                co_return response;
            }
        }
    }

    // Rows up to this size are not worth the cost of counting them.
    static constexpr std::size_t uncounted_bytes = 4096;

    http::line_socket socket_;
    std::string database_;
    std::string tenant_;
    base::memory_budget* budget_;
    std::uint64_t number_ = next_connection_number();
    connection_content content_;
    std::optional<reported_position> first_position_;
    base::clock::time_point idle_since_{};
    bool has_timed_out_ = false;
};

} // namespace backends
