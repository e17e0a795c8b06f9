#pragma once

#include <base/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <utility>

namespace proxy {

/// A statement that a database is executing, with the connection that waits for its response.
template <typename Connection>
struct running_statement {
    std::string database_;
    std::uint64_t term_ = 0;
    Connection* connection_ = nullptr;
    base::clock::time_point started_at_{};
};

/// The statements in flight at the databases of one group, so that those without a prospect of a response
/// can be cancelled.
///
/// Cancelling a statement closes its connection, which ends its wait with an error. Thread safety: owned by
/// one thread. Lifetime: outlives the registrations.
template <typename Connection>
class running_statements {
public:
    /// Lists a statement while the registration exists. Precondition: the connection outlives it.
    class registration {
    public:
        registration(running_statements& list, running_statement<Connection> statement)
            : list_{list}, position_{list.all_.insert(list.all_.end(), std::move(statement))} {}
        ~registration() { list_.all_.erase(position_); }
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;
        registration(registration&&) = delete;
        registration& operator=(registration&&) = delete;

    private:
        running_statements& list_;
        typename std::list<running_statement<Connection>>::iterator position_;
    };

    /// Cancels all statements.
    void cancel_all() {
        cancel_if([](const auto& /*statement*/) { return true; });
    }

    /// Cancels the statements that were sent in terms before `term`.
    void cancel_before(std::uint64_t term) {
        cancel_if([term](const auto& statement) { return statement.term_ < term; });
    }

    /// Cancels the statements of a database that started before both `flow_lost_at` and `silent_since`.
    void cancel_silent(std::string_view database, base::clock::time_point flow_lost_at,
                       base::clock::time_point silent_since) {
        const auto started_before = std::min(flow_lost_at, silent_since);
        cancel_if([&](const auto& statement) {
            return statement.database_ == database && statement.started_at_ < started_before;
        });
    }

    /// Returns the number of statements in flight at a database.
    [[nodiscard]] std::uint32_t count_on(std::string_view database) const {
        return static_cast<std::uint32_t>(std::count_if(all_.begin(), all_.end(), [&](const auto& statement) {
            return statement.database_ == database;
        }));
    }

private:
    template <typename Condition>
    void cancel_if(Condition condition) {
        for (auto& statement : all_) {
            if (condition(statement)) {
                statement.connection_->close();
            }
        }
    }

    std::list<running_statement<Connection>> all_;
};

} // namespace proxy
