#pragma once

#include <base/clock.hpp>
#include <daemons/quota_bucket.hpp>
#include <daemons/quota_message.hpp>
#include <daemons/quota_tokens.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace daemons {

/// What the control thread of a daemon does with the tokens of one tenant: fills the daemon's own bucket and
/// measures what the daemon needs. Thread safety: used by one thread only. The caller passes the time.
class quota_share {
public:
    /// Starts at `now` with the content that the own bucket has.
    quota_share(std::string tenant, base::clock::time_point now)
        : tenant_{std::move(tenant)}, filled_at_{now} {}

    /// Determines the daemon's own bucket and cuts its content to the capacity. `listed` are the registered
    /// daemons, `daemons` is the number of those that may be running.
    void set_bucket(quota_tokens& tokens, const quota_limit& limit, const quota_bounds& bounds,
                    std::string_view daemon, std::span<const std::string> listed,
                    std::size_t daemons) noexcept;

    /// Fills the own bucket for the time since the last call, at a part of its share.
    void fill(quota_tokens& tokens, double part, base::clock::time_point now) noexcept;

    /// Lets later calls of `fill` count the time from `moment` on, if that is later than the last call.
    void skip_until(base::clock::time_point moment) noexcept { filled_at_ = std::max(filled_at_, moment); }

    /// Records how many operations have asked for a token since the start, which is not negative.
    void note_arrivals(std::uint64_t arrivals, base::clock::time_point now) noexcept;
    /// Sets the number from which arrivals are counted.
    void skip_arrivals(std::uint64_t arrivals, base::clock::time_point now) noexcept {
        arrivals_ = arrivals;
        arrivals_per_s_ = 0;
        measured_at_ = now;
        last_arrival_at_ = now;
    }

    /// Returns how many tokens to ask the leader for.
    [[nodiscard]] std::uint32_t wanted(const quota_tokens& tokens, std::uint32_t waiting,
                                       base::clock::time_point now) const noexcept;

    /// Returns the time in which the own bucket gets a token at a part of its share, rounded up; 0 if it gets
    /// none.
    [[nodiscard]] base::clock::duration token_interval(double part) const noexcept;

    [[nodiscard]] const std::string& tenant() const noexcept { return tenant_; }
    [[nodiscard]] base::clock::time_point last_arrival_at() const noexcept { return last_arrival_at_; }

private:
    std::string tenant_;
    /// At which all buckets of the tenant are filled together.
    double fill_rate_ = 0;
    local_bucket bucket_;
    base::clock::time_point filled_at_;
    base::clock::time_point measured_at_{filled_at_};
    base::clock::time_point last_arrival_at_{filled_at_};
    std::uint64_t arrivals_ = 0;
    double arrivals_per_s_ = 0;
};

} // namespace daemons
