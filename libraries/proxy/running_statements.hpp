#pragma once

#include <base/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <utility>

namespace proxy {

/// A statement that a database works on, with the connection that waits for its answer.
template <typename Connection>
struct running_statement {
    std::string database_;
    std::uint64_t term_ = 0;
    Connection* connection_ = nullptr;
    base::clock::time_point started_at_{};
};

/// The statements that databases work on for one home, so that the hopeless ones can be given up.
///
/// Giving up closes the connection, which ends the statement's wait with an error. Thread safety: owned by
/// one thread. Lifetime: outlives the registrations.
template <typename Connection>
class running_statements {
public:
    /// Keeps a statement listed for as long as it exists. Precondition: the connection outlives it.
    class registration {
    public:
        registration(running_statements& owner, running_statement<Connection> statement)
            : owner_{owner}, place_{owner.all_.insert(owner.all_.end(), std::move(statement))} {}
        ~registration() { owner_.all_.erase(place_); }
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;
        registration(registration&&) = delete;
        registration& operator=(registration&&) = delete;

    private:
        running_statements& owner_;
        typename std::list<running_statement<Connection>>::iterator place_;
    };

    /// Gives up all statements.
    void cancel_all() {
        give_up_if([](const auto& /*statement*/) { return true; });
    }

    /// Gives up the statements of terms before `term`.
    void cancel_before(std::uint64_t term) {
        give_up_if([term](const auto& statement) { return statement.term_ < term; });
    }

    /// Gives up the statements of a database that started before `flow_lost_at` and before `silent_since`.
    void cancel_silent(std::string_view database, base::clock::time_point flow_lost_at,
                       base::clock::time_point silent_since) {
        const auto started_before = std::min(flow_lost_at, silent_since);
        give_up_if([&](const auto& statement) {
            return statement.database_ == database && statement.started_at_ < started_before;
        });
    }

    /// Returns how many statements a database works on.
    [[nodiscard]] std::uint32_t count_on(std::string_view database) const {
        return static_cast<std::uint32_t>(std::count_if(all_.begin(), all_.end(), [&](const auto& statement) {
            return statement.database_ == database;
        }));
    }

private:
    template <typename Condition>
    void give_up_if(Condition condition) {
        for (auto& statement : all_) {
            if (condition(statement)) {
                statement.connection_->close();
            }
        }
    }

    std::list<running_statement<Connection>> all_;
};

} // namespace proxy
