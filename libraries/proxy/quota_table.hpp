#pragma once

#include <base/clock.hpp>
#include <daemons/quota_bucket.hpp>
#include <daemons/quota_tokens.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace proxy {

/// The tokens of one tenant with a limit at this daemon, and what request threads report about its
/// operations. Thread safety: every member may be used from any thread.
struct tenant_quota {
    explicit tenant_quota(std::string name) : name_{std::move(name)} {}

    const std::string name_;
    daemons::quota_tokens tokens_;
    /// Operations that asked for a token; includes those that were refused.
    std::atomic<std::uint64_t> arrivals_{0};
    std::atomic<std::uint64_t> refused_{0};
    std::atomic<std::uint32_t> waiting_{0};
    /// Whether the control thread fills the daemon's own bucket and asks the leader for tokens.
    std::atomic<bool> is_active_{false};
    /// Whether an operation has arrived while that was not so.
    std::atomic<bool> is_requested_{false};
    /// Until when the leader's last response says that it has no tokens, and when it expects to have one, in
    /// milliseconds of the clock.
    std::atomic<std::int64_t> exhausted_until_ms_{0};
    std::atomic<std::int64_t> retry_at_ms_{0};
    /// The time in which the daemon's own bucket gets a token; 0 if it gets none.
    std::atomic<std::uint32_t> local_interval_ms_{0};
};

/// All tenants with a limit. Immutable; the states are shared by successive tables, so that a changed
/// configuration keeps what the buckets hold. Thread safety: concurrent const access is safe.
class quota_table {
public:
    using tenants = std::map<std::string, std::shared_ptr<tenant_quota>, std::less<>>;

    quota_table() = default;
    explicit quota_table(tenants entries) : tenants_{std::move(entries)} {}

    /// Returns the state of a tenant, or null if the tenant has no limit.
    [[nodiscard]] std::shared_ptr<tenant_quota> find(std::string_view tenant) const {
        const auto found = tenants_.find(tenant);
        return found == tenants_.end() ? nullptr : found->second;
    }
    [[nodiscard]] const tenants& entries() const noexcept { return tenants_; }

    friend bool operator==(const quota_table&, const quota_table&) = default;

private:
    tenants tenants_;
};

/// How request threads reach the control thread about tokens. Thread safety: every function may be called
/// from any thread; `connect` before the request threads start.
class quota_signal {
public:
    /// Sets the function that wakes the control thread.
    void connect(std::function<void()> wake) { wake_ = std::move(wake); }

    /// Wakes the control thread unless it has been woken since it last called `reset`.
    void request() const {
        if (wake_ && !is_requested_.exchange(true, std::memory_order_acq_rel)) {
            wake_();
        }
    }
    void reset() const noexcept { is_requested_.store(false, std::memory_order_release); }

    /// Asks the control thread to make a tenant active.
    void request_activation(tenant_quota& tenant) const {
        if (!tenant.is_requested_.exchange(true, std::memory_order_acq_rel)) {
            is_activation_requested_.store(true, std::memory_order_release);
            request();
        }
    }
    /// Returns whether `request_activation` was called since the last call.
    [[nodiscard]] bool take_activation_request() const noexcept {
        return is_activation_requested_.load(std::memory_order_relaxed) &&
               is_activation_requested_.exchange(false, std::memory_order_acq_rel);
    }

    /// Publishes until when the last response of the leader counts.
    void set_leader_until(base::clock::time_point until) noexcept {
        leader_until_ms_.store(until.time_since_epoch().count(), std::memory_order_relaxed);
    }
    [[nodiscard]] bool has_leader(base::clock::time_point now) const noexcept {
        return now.time_since_epoch().count() < leader_until_ms_.load(std::memory_order_relaxed);
    }

private:
    std::function<void()> wake_;
    mutable std::atomic<bool> is_requested_{false};
    mutable std::atomic<bool> is_activation_requested_{false};
    std::atomic<std::int64_t> leader_until_ms_{0};
};

/// Returns the estimate of when the tenant gets its next token, from `now`.
[[nodiscard]] inline base::clock::duration retry_estimate(const tenant_quota& tenant,
                                                          base::clock::time_point now) noexcept {
    // The usual time until the leader's next response, when nothing is known.
    constexpr std::int64_t unknown_ms = 400;
    const auto until_lent =
        tenant.retry_at_ms_.load(std::memory_order_relaxed) - now.time_since_epoch().count();
    if (until_lent > 0) {
        return base::clock::duration{until_lent};
    }
    const std::int64_t interval = tenant.local_interval_ms_.load(std::memory_order_relaxed);
    return base::clock::duration{interval > 0 ? std::max<std::int64_t>(interval, 1) : unknown_ms};
}

} // namespace proxy
