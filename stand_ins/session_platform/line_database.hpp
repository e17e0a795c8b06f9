#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <http/line_socket.hpp>
#include <http/listener.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace stand_ins {

/// A statement that a database ran, as a test looks at it.
struct seen_statement {
    std::string id_;
    /// As it was received, without the prefix `AFTER`.
    std::string text_;
    /// The values that the connection's session had set.
    std::map<std::string, std::string> values_;
    /// Effect and shape of the prepared statement that an `EXECUTE` ran; empty for other statements.
    std::string prepared_;
    /// The name that its connection gave at its start.
    std::string tenant_{};
    base::clock::time_point ran_at_{};

    friend auto operator<=>(const seen_statement&, const seen_statement&) = default;
};

/// A statement that a database refused because its text is not of the protocol or names an unknown prepared
/// statement.
struct refused_statement {
    std::string id_;
    std::string text_;
    /// `MALFORMED` or `NOSTMT`.
    std::string code_;

    friend auto operator<=>(const refused_statement&, const refused_statement&) = default;
};

/// A write in a database's log.
struct logged_write {
    std::uint64_t term_ = 0;
    std::uint64_t number_ = 0;
    std::string id_;
    std::string key_;
    std::string value_;
    base::clock::time_point committed_at_{};

    friend auto operator<=>(const logged_write&, const logged_write&) = default;
};

/// A stand-in of a database that speaks the platform's line protocol. It has a log of its own, which follows
/// another database's only when `follow` is called. Thread safety: used by the thread of its executor only.
/// Lifetime: held by a `std::shared_ptr`.
class line_database : public std::enable_shared_from_this<line_database> {
public:
    line_database(boost::asio::any_io_executor executor, std::string service, std::string id);

    [[nodiscard]] bool listen(const base::endpoint& local);
    /// Closes the listener and every connection, as a crash does.
    void crash();

    void set_primary(bool is_primary, std::uint64_t term);
    /// Sets where the log stands.
    void set_position(std::uint64_t number) { number_ = number; }
    /// Takes over what `leader` has committed until a moment. Entries that the leader does not have are
    /// rolled back.
    void follow(const line_database& leader, base::clock::time_point committed_until);
    /// Runs writes from now on without answering, and closes their connections.
    void set_losing_answers(bool is_losing) { is_losing_ = is_losing; }
    /// Answers each message this much later from now on, also those that already wait for their answer.
    void set_answer_delay(base::clock::duration delay) { answer_delay_ = delay; }
    /// Answers each `BEGIN` with this error line from now on, without running it; empty to run them again.
    /// The answer has the position of the request and comes this much later.
    void set_begin_error(std::string error, base::clock::duration delay = {}) {
        begin_error_ = std::move(error);
        begin_error_delay_ = delay;
    }
    /// Returns how many `BEGIN` were answered with that error line.
    [[nodiscard]] std::uint64_t failed_begins() const noexcept { return failed_begins_; }
    /// Refuses each new connection with this error line from now on; empty to accept them again.
    void set_start_error(std::string error) { start_error_ = std::move(error); }
    /// Answers each `STATUS` with this error line from now on; empty to report again.
    void set_status_error(std::string error) { status_error_ = std::move(error); }
    /// Forgets a connection's prepared statements from now on whenever one is to be executed.
    void set_forgetting_prepared(bool is_forgetting) { is_forgetting_prepared_ = is_forgetting; }
    [[nodiscard]] const std::vector<seen_statement>& seen() const noexcept { return seen_; }
    /// Returns the name that each connection gave at its start, in their order.
    [[nodiscard]] const std::vector<std::string>& started() const noexcept { return started_; }
    [[nodiscard]] const std::vector<refused_statement>& refused() const noexcept { return refused_; }
    [[nodiscard]] std::uint64_t position() const noexcept { return number_; }
    [[nodiscard]] bool is_primary() const noexcept { return is_primary_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] const std::vector<logged_write>& log() const noexcept { return log_; }
    /// Returns the writes that were rolled back because another database led without them.
    [[nodiscard]] const std::vector<logged_write>& rolled_back() const noexcept { return rolled_back_; }

private:
    struct session {
        std::shared_ptr<http::line_socket> socket_;
        /// The name given at its start.
        std::string tenant_;
        bool is_started_ = false;
        std::map<std::string, std::string> values_;
        /// Effect and shape of each name.
        std::map<std::string, std::string> prepared_;
        /// Writes of the open transaction.
        std::vector<logged_write> pending_;
        char state_ = 'I';
    };

    boost::asio::awaitable<void> accept(std::shared_ptr<line_database> self);
    boost::asio::awaitable<void> serve(std::shared_ptr<line_database> self,
                                       std::shared_ptr<http::line_socket> socket);
    /// Starts a connection. Returns the answer; empty to close one that had been started before.
    std::string start(session& current, std::string fields);
    /// Returns the answer to a text; empty to close the connection without one.
    std::string answer(session& current, const std::string& id, std::string text);
    std::string change_session(session& current, const std::string& id, const std::string& text);
    std::string run(session& current, const std::string& id, const std::string& text);
    std::string refuse(const session& current, const std::string& id, const std::string& text,
                       const std::string& code);
    void commit(session& current);
    /// Returns the row of a read: this database, the key, its value and the session's tag.
    [[nodiscard]] std::string row(const session& current, const std::string& key) const;
    [[nodiscard]] std::string ready(const session& current) const;
    [[nodiscard]] std::string position_text() const;

    boost::asio::any_io_executor executor_;
    std::string service_;
    std::string id_;
    std::shared_ptr<http::listener> listener_;
    std::vector<std::weak_ptr<http::line_socket>> sockets_;
    std::vector<seen_statement> seen_;
    std::vector<std::string> started_;
    std::vector<refused_statement> refused_;
    std::vector<logged_write> log_;
    std::vector<logged_write> rolled_back_;
    bool is_primary_ = false;
    bool is_losing_ = false;
    std::string begin_error_;
    base::clock::duration begin_error_delay_{0};
    std::uint64_t failed_begins_ = 0;
    std::string start_error_;
    std::string status_error_;
    bool is_forgetting_prepared_ = false;
    base::clock::duration answer_delay_{0};
    std::uint64_t term_ = 1;
    std::uint64_t number_ = 1;
};

} // namespace stand_ins
