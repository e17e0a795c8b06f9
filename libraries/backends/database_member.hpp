#pragma once

#include <backends/connection_share.hpp>
#include <backends/database_listing.hpp>
#include <backends/statement_connection.hpp>
#include <backends/statement_window.hpp>
#include <base/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace backends {

/// One database of a service as one daemon uses it: its connections and what is known of its condition.
/// Holds no coroutine. Thread safety: owned by the thread of its service.
template <database_protocol Protocol>
class database_member {
public:
    using connection = statement_connection<Protocol>;
    using connection_pointer = std::shared_ptr<connection>;

    database_member(database_listing listing, connection_share share)
        : listing_{std::move(listing)}, share_{share} {}

    [[nodiscard]] const database_listing& listing() const noexcept { return listing_; }
    void set_listing(database_listing listing) { listing_ = std::move(listing); }
    void set_limits(std::uint32_t most_connections, std::uint32_t daemons) {
        share_ = share_.with_limits(most_connections, daemons);
    }

    /// Takes the idle connection whose values are nearest to the session's. Empty when none is usable.
    [[nodiscard]] connection_pointer take_idle(const std::map<std::string, std::string>& session) {
        while (!idle_.empty()) {
            const auto nearest =
                std::min_element(idle_.begin(), idle_.end(), [&session](const auto& left, const auto& right) {
                    return left->content().distance_to(session) < right->content().distance_to(session);
                });
            auto taken = *nearest;
            idle_.erase(nearest);
            if (taken->is_open() && !taken->is_stale()) {
                used_.insert(taken);
                return taken;
            }
            taken->close();
        }
        return nullptr;
    }

    /// Takes back a connection after use, to be kept if it is open.
    void give_back(const connection_pointer& connection, base::clock::time_point now) {
        used_.erase(connection);
        if (connection->is_open()) {
            connection->set_idle_since(now);
            idle_.push_back(connection);
        }
    }

    /// Adds a connection that was opened. Ends the count of `note_opening`.
    void add(connection_pointer connection, base::clock::time_point now) {
        --opening_;
        connection->set_idle_since(now);
        idle_.push_back(std::move(connection));
        note_success(now);
    }

    void note_opening() noexcept { ++opening_; }

    /// Notes that the database refused a connection because it has too many.
    void note_refused(base::clock::time_point now) {
        --opening_;
        share_ = share_.record_refusal(now);
        last_response_ = now;
    }

    /// Notes that a connection could not be opened.
    void note_open_failed(base::clock::time_point now) {
        --opening_;
        ++failures_;
        if (!failing_since_) {
            failing_since_ = now;
        }
        const auto doubled = shortest_pause * (1U << std::min(failures_ - 1, 3U));
        next_open_ = now + std::min<base::clock::duration>(doubled, longest_pause);
    }

    /// Notes that the database has answered.
    void note_success(base::clock::time_point now) {
        failures_ = 0;
        failing_since_.reset();
        last_response_ = now;
    }

    /// Notes that the database's log was behind what a read needed.
    void note_behind(base::clock::time_point now) {
        behind_pause_ = std::min(behind_pause_ * 2, longest_behind_pause);
        behind_until_ = now + behind_pause_;
    }
    void note_caught_up() noexcept { behind_pause_ = shortest_behind_pause; }

    /// Notes the position that a replica has applied. One of a later term replaces those of earlier ones.
    void note_position(base::log_position position) noexcept { position_ = position; }

    /// Notes how long a statement took.
    void note_duration(base::clock::duration length, std::uint32_t priority,
                       base::clock::time_point now) noexcept {
        window_.note_response(length, priority, now);
    }
    /// Notes that the database's queue was full.
    void note_queue_full(base::clock::time_point now) noexcept { window_.note_refused(now); }

    /// Closes all connections, those in use too.
    void close_all() {
        for (const auto& one : idle_) {
            one->close();
        }
        idle_.clear();
        for (const auto& one : used_) {
            one->close();
        }
    }

    /// Closes idle connections that other daemons, or this one after a restart, may need. Some are kept.
    void close_idle(base::clock::time_point now) {
        auto left = idle_.size();
        std::erase_if(idle_, [this, now, &left](const auto& one) {
            const auto idle_for = now - one->idle_since();
            const bool is_above = share_.is_above_share(open_connections());
            const auto limit =
                left <= share_.kept_idle() ? share_.max_idle(now) : (is_above ? surplus_idle : spare_idle);
            if (idle_for <= limit) {
                return false;
            }
            one->close();
            --left;
            return true;
        });
    }

    [[nodiscard]] bool may_open(connection_pressure pressure, base::clock::time_point now) const noexcept {
        const auto most_opening = failing_since_ ? 1U : most_opening_at_once;
        return opening_ < most_opening && now >= next_open_ &&
               share_.may_open(open_connections(), pressure, now);
    }
    [[nodiscard]] bool has_idle() const noexcept { return !idle_.empty(); }
    [[nodiscard]] std::uint32_t open_connections() const noexcept {
        return static_cast<std::uint32_t>(idle_.size() + used_.size()) + opening_;
    }
    [[nodiscard]] std::uint32_t used_connections() const noexcept {
        return static_cast<std::uint32_t>(used_.size());
    }
    [[nodiscard]] std::uint32_t opening() const noexcept { return opening_; }
    [[nodiscard]] bool is_failing() const noexcept { return failing_since_.has_value(); }
    [[nodiscard]] std::optional<base::clock::time_point> failing_since() const noexcept {
        return failing_since_;
    }
    /// Returns whether the database was behind lately and is not known to have reached a position since.
    [[nodiscard]] bool is_behind(base::log_position needed, base::clock::time_point now) const noexcept {
        return was_recently_behind(now) && needed > position_;
    }
    /// Returns whether the database was behind what a read needed lately.
    [[nodiscard]] bool was_recently_behind(base::clock::time_point now) const noexcept {
        return now < behind_until_;
    }
    [[nodiscard]] bool is_congested() const noexcept { return window_.is_congested(); }
    /// Returns how many statements of a priority this daemon may have under way now.
    [[nodiscard]] std::uint32_t max_running(std::uint32_t daemons, std::uint32_t priority,
                                            base::clock::time_point now) const noexcept {
        return window_.max_running(std::max(listing_->slots_, 1U), daemons, priority, now);
    }
    /// Returns how many statements of a priority this daemon has under way in the mean at most.
    [[nodiscard]] double window(std::uint32_t daemons, std::uint32_t priority) const noexcept {
        return window_.size(std::max(listing_->slots_, 1U), daemons, priority);
    }
    /// Returns when the next statement of a priority may start while none is under way.
    [[nodiscard]] base::clock::time_point next_start(std::uint32_t daemons,
                                                     std::uint32_t priority) const noexcept {
        return window_.next_start(std::max(listing_->slots_, 1U), daemons, priority);
    }
    [[nodiscard]] base::clock::time_point last_response() const noexcept { return last_response_; }

    /// Notes that a statement is under way from now on.
    void begin_statement(base::clock::time_point now) noexcept {
        busy_since_ = running_ == 0 ? now : busy_since_;
        ++running_;
    }
    /// Notes that a statement is no longer under way. Precondition: one is.
    void end_statement() noexcept { --running_; }
    /// Returns how many statements of this daemon are under way.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    /// Returns for how long statements have been under way without any answer.
    [[nodiscard]] base::clock::duration silent_for(base::clock::time_point now) const noexcept {
        return running_ == 0 ? base::clock::duration{0} : now - std::max(last_response_, busy_since_);
    }

private:
    static constexpr base::clock::duration shortest_pause{60};
    static constexpr base::clock::duration longest_pause{400};
    // A replica behind a healthy primary catches up within tens of milliseconds.
    static constexpr base::clock::duration shortest_behind_pause{20};
    static constexpr base::clock::duration longest_behind_pause{320};
    static constexpr base::clock::duration surplus_idle{300};
    // Longer than the pause between two bursts of statements of one client.
    static constexpr base::clock::duration spare_idle{1'000};
    static constexpr std::uint32_t most_opening_at_once = 2;

    database_listing listing_;
    connection_share share_;
    std::vector<connection_pointer> idle_;
    std::set<connection_pointer> used_;
    std::uint32_t running_ = 0;
    base::clock::time_point busy_since_{};
    std::uint32_t opening_ = 0;
    std::uint32_t failures_ = 0;
    std::optional<base::clock::time_point> failing_since_;
    base::clock::time_point next_open_{};
    base::clock::time_point last_response_{};
    base::clock::time_point behind_until_{};
    base::clock::duration behind_pause_ = shortest_behind_pause;
    base::log_position position_;
    statement_window window_;
};

} // namespace backends
