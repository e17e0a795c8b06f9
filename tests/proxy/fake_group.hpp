#pragma once

#include <backends/database_connection.hpp>
#include <backends/failure_detector.hpp>
#include <base/endpoint.hpp>
#include <http/sleep.hpp>
#include <operators/service_declaration.hpp>

#include <boost/asio/awaitable.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// A database group in memory, for tests of what a home does with one.
namespace fakes {

/// One entry of a database's log: what one request or transaction has written.
struct log_entry {
    std::uint64_t term_ = 0;
    std::vector<std::string> statements_;
    std::optional<std::string> key_;
    std::string fingerprint_;
    bool cancels_ = false;

    friend auto operator<=>(const log_entry&, const log_entry&) = default;
};

/// One of the three databases, with the faults that a test sets.
struct database {
    std::string name_;
    std::uint64_t term_ = 1;
    std::string raised_by_;
    bool is_primary_ = false;
    std::vector<log_entry> log_{{.term_ = 1}};
    /// Takes no connection and answers nothing, but keeps running.
    bool is_frozen_ = false;
    /// Receives what the primary writes.
    bool is_replicating_ = true;
    /// Drops this many of the next statements or commits before their effect.
    int lose_before_effect_ = 0;
    /// Drops the answers of this many of the next statements or commits after their effect.
    int lose_after_effect_ = 0;
    /// Refuses the next request for this reason.
    std::optional<backends::refusal> refuse_next_;
    /// Lets statements wait while it is set.
    bool holds_statements_ = false;
    /// How long a statement takes.
    base::clock::duration statement_time_{1};

    [[nodiscard]] base::log_position last() const { return {log_.back().term_, log_.size()}; }
    [[nodiscard]] const log_entry* find_key(const std::string& key) const;
    [[nodiscard]] int count_statement(const std::string& statement) const;
};

/// A statement that reached a database.
struct received {
    std::uint64_t connection_ = 0;
    std::string database_;
    backends::statement_path path_ = backends::statement_path::execute;
    std::vector<std::string> statements_;

    friend auto operator<=>(const received&, const received&) = default;
};

class group {
public:
    group();

    [[nodiscard]] std::vector<operators::database_declaration> declarations() const;
    /// Copies the primary's log to the replicas that replicate and know no higher term.
    void replicate(const database& from);
    [[nodiscard]] backends::term_response raise(database& target, const backends::takeover_request& step);
    [[nodiscard]] backends::term_response promote(database& target, const backends::takeover_request& step);
    /// Makes another home's takeover: raises `term` at d1 and d2 and promotes d1.
    void replace_primary(std::uint64_t term);

    std::array<database, 3> databases_;
    std::vector<received> received_;
    std::set<std::uint64_t> closed_;
    std::uint64_t last_connection_ = 0;
    int settles_ = 0;
};

/// Knows which objects exist, so that a use after the end is seen without reading freed memory.
class lifetime {
public:
    lifetime() { existing().insert(this); }
    lifetime(lifetime&& /*other*/) noexcept { existing().insert(this); }
    lifetime& operator=(lifetime&& /*other*/) noexcept { return *this; }
    lifetime(const lifetime&) = delete;
    lifetime& operator=(const lifetime&) = delete;
    ~lifetime() { existing().erase(this); }

    [[nodiscard]] static bool exists(const lifetime* object) { return existing().contains(object); }

private:
    static std::set<const lifetime*>& existing() {
        static std::set<const lifetime*> objects;
        return objects;
    }
};

/// A connection to one database of the group.
class connection {
public:
    connection(group& owner, database& target);

    boost::asio::awaitable<base::result<backends::database_status>>
    status(std::optional<backends::status_wait> wait, base::clock::duration timeout);
    boost::asio::awaitable<base::result<backends::term_response>> raise(backends::takeover_request step,
                                                                        base::clock::duration timeout);
    boost::asio::awaitable<base::result<backends::term_response>> promote(backends::takeover_request step,
                                                                          base::clock::duration timeout);
    boost::asio::awaitable<base::result<backends::execute_response>>
    run(backends::statement_path path, backends::execute_request statements, base::clock::duration timeout);
    boost::asio::awaitable<base::result<backends::settle_response>>
    settle(backends::settle_request settle_call, base::clock::duration timeout);
    [[nodiscard]] bool is_usable() const { return state_->is_open_; }
    void close();

private:
    struct state {
        group* owner_;
        database* target_;
        std::uint64_t number_;
        bool is_open_ = true;
        /// The statements of the open transaction.
        std::optional<std::vector<std::string>> open_transaction_;
    };

    static boost::asio::awaitable<std::optional<base::error>>
    reach(std::shared_ptr<state> self, base::clock::duration timeout, bool is_statement);
    static backends::execute_response execute(state& self, backends::statement_path path,
                                              const backends::execute_request& statements);
    static backends::execute_response write(state& self, const backends::execute_request& request,
                                            const std::vector<std::string>& statements);

    lifetime lifetime_;
    std::shared_ptr<state> state_;
};

struct connector {
    using connection = fakes::connection;
    group* owner_;

    boost::asio::awaitable<base::result<connection>> connect(base::endpoint address,
                                                             base::clock::duration timeout) const;
};

static_assert(backends::database_connector<connector>);

/// The other daemon finds what the fake database is.
struct check {
    group* owner_;

    boost::asio::awaitable<backends::suspicion_result>
    operator()(operators::database_declaration suspected) const;
};

} // namespace fakes
