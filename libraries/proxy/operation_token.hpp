#pragma once

#include <backends/statement_response.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>
#include <daemons/quota_tokens.hpp>
#include <http/sleep.hpp>
#include <proxy/events.hpp>
#include <proxy/quota_table.hpp>
#include <proxy/statement_recorder.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace proxy {

/// Counts an operation as waiting for a token while it exists, which makes the control thread ask the leader.
class waiting_operation {
public:
    waiting_operation(tenant_quota& tenant, const quota_signal& signal) : tenant_{tenant} {
        tenant_.waiting_.fetch_add(1, std::memory_order_relaxed);
        signal.request();
    }
    ~waiting_operation() { tenant_.waiting_.fetch_sub(1, std::memory_order_relaxed); }
    waiting_operation(const waiting_operation&) = delete;
    waiting_operation& operator=(const waiting_operation&) = delete;
    waiting_operation(waiting_operation&&) = delete;
    waiting_operation& operator=(waiting_operation&&) = delete;

private:
    tenant_quota& tenant_;
};

/// The token of a session's current operation, if its tenant has a limit. Thread safety: used by the thread
/// of the session only.
class operation_token {
public:
    /// Counts an operation of a tenant and takes a token for it. Waits for a short time if the leader may
    /// lend one. Returns false if there is none. Precondition: `tenant` is not null.
    [[nodiscard]] boost::asio::awaitable<bool> take(std::shared_ptr<tenant_quota> tenant,
                                                    const quota_signal& signal) {
        tenant_ = std::move(tenant);
        tenant_->arrivals_.fetch_add(1, std::memory_order_relaxed);
        if (!tenant_->is_active_.load(std::memory_order_acquire)) {
            signal.request_activation(*tenant_);
        }
        if (try_take()) {
            co_return true;
        }
        const auto deadline = base::clock::now() + max_wait;
        while (may_wait(signal) && base::clock::now() < deadline) {
            const waiting_operation waiting{*tenant_, signal};
            co_await http::sleep_for(check_interval);
            if (try_take()) {
                co_return true;
            }
        }
        co_return false;
    }

    /// Counts and logs that the operation is refused because `take` found no token. Returns what the client
    /// is told.
    [[nodiscard]] std::string note_refused(const quota_signal& signal, statement_recorder& recorder) const {
        const auto now = base::clock::now();
        const auto refused = tenant_->refused_.fetch_add(1, std::memory_order_relaxed) + 1;
        const auto retry = retry_estimate(*tenant_, now);
        if (recorder.may_log_tenant_refusal(now)) {
            base::log_event(events::tenant_limited, {{"tenant", tenant_->name_},
                                                     {"refused", std::to_string(refused)},
                                                     {"retry_after_ms", std::to_string(retry.count())},
                                                     {"leader", signal.has_leader(now) ? "yes" : "no"}});
        }
        return std::string{refusal_prefix}.append(std::to_string(retry.count()));
    }

    /// Ends the operation's claim on its token. It is returned if the response shows that no database ran
    /// anything.
    void settle(backends::statement_status status) noexcept {
        if (token_ && backends::has_not_run(status)) {
            tenant_->tokens_.give_back(*token_, base::clock::now());
        }
        token_.reset();
    }

    static constexpr const char* refusal_prefix = "tenant limit, retry_after_ms=";

private:
    [[nodiscard]] bool try_take() noexcept {
        token_ = tenant_->tokens_.take(base::clock::now());
        return token_.has_value();
    }

    /// Returns whether the leader may lend a token soon: it answers, and has not just said that it has none.
    [[nodiscard]] bool may_wait(const quota_signal& signal) const noexcept {
        const auto now = base::clock::now();
        const auto exhausted_until = tenant_->exhausted_until_ms_.load(std::memory_order_relaxed);
        return signal.has_leader(now) && now.time_since_epoch().count() >= exhausted_until &&
               tenant_->waiting_.load(std::memory_order_relaxed) < max_waiting;
    }

    // Longer than a request to the leader and its response take.
    static constexpr base::clock::duration max_wait{40};
    static constexpr base::clock::duration check_interval{5};
    // Bounds the sessions that wake up every few milliseconds.
    static constexpr std::uint32_t max_waiting = 64;

    std::shared_ptr<tenant_quota> tenant_;
    std::optional<daemons::quota_token> token_;
};

} // namespace proxy
