#include <daemons/quota_tokens.hpp>

#include <daemons/quota_bucket.hpp>

#include <algorithm>

namespace daemons {

namespace {

constexpr std::int64_t whole_token = 1'000'000;

} // namespace

std::optional<quota_token> quota_tokens::take(base::clock::time_point now) noexcept {
    const auto newest = newest_slot_.load(std::memory_order_acquire);
    for (auto number = slot_of(now) + 1; number <= newest; ++number) {
        auto& slot = lent_[number % slots];
        auto value = slot.load(std::memory_order_relaxed);
        while ((value >> count_bits) == number && (value & count_mask) > 0) {
            if (slot.compare_exchange_weak(value, value - 1, std::memory_order_acq_rel,
                                           std::memory_order_relaxed)) {
                const base::clock::time_point expiry{
                    base::clock::duration{static_cast<std::int64_t>(number) * slot_ms}};
                return quota_token{quota_token::source::lent, now, expiry};
            }
        }
    }
    auto content = local_.load(std::memory_order_relaxed);
    while (content >= whole_token) {
        if (local_.compare_exchange_weak(content, content - whole_token, std::memory_order_acq_rel,
                                         std::memory_order_relaxed)) {
            return quota_token{quota_token::source::local, now, {}};
        }
    }
    return std::nullopt;
}

void quota_tokens::give_back(const quota_token& token, base::clock::time_point now) noexcept {
    if (token.source_ == quota_token::source::lent) {
        if (now < token.expiry_) {
            add_lent(1, token.expiry_, now);
        }
        return;
    }
    if (now - token.taken_at_ < max_token_return_age) {
        fill_local(1, static_cast<double>(local_capacity_.load(std::memory_order_relaxed)) / unit);
    }
}

void quota_tokens::fill_local(double tokens, double capacity) noexcept {
    const auto most = static_cast<std::int64_t>(capacity * unit);
    local_capacity_.store(most, std::memory_order_relaxed);
    const auto added = static_cast<std::int64_t>(tokens * unit);
    auto content = local_.load(std::memory_order_relaxed);
    for (;;) {
        const auto filled = std::min(content + added, most);
        if (filled == content || local_.compare_exchange_weak(content, filled, std::memory_order_acq_rel,
                                                              std::memory_order_relaxed)) {
            return;
        }
    }
}

void quota_tokens::add_lent(std::uint32_t count, base::clock::time_point expiry,
                            base::clock::time_point now) noexcept {
    const auto number = slot_of(expiry);
    if (count == 0 || number <= slot_of(now)) {
        return;
    }
    auto& slot = lent_[number % slots];
    auto value = slot.load(std::memory_order_relaxed);
    for (;;) {
        if ((value >> count_bits) > number) {
            return;
        }
        const auto held = (value >> count_bits) == number ? value & count_mask : 0;
        const auto sum = std::min<packed_slot>(held + count, count_mask);
        if (slot.compare_exchange_weak(value, (packed_slot{number} << count_bits) | sum,
                                       std::memory_order_acq_rel, std::memory_order_relaxed)) {
            break;
        }
    }
    auto newest = newest_slot_.load(std::memory_order_relaxed);
    while (newest < number && !newest_slot_.compare_exchange_weak(newest, number, std::memory_order_acq_rel,
                                                                  std::memory_order_relaxed)) {
    }
}

void quota_tokens::void_lent() noexcept {
    for (auto& slot : lent_) {
        slot.store(0, std::memory_order_release);
    }
}

double quota_tokens::local_content() const noexcept {
    return static_cast<double>(local_.load(std::memory_order_relaxed)) / unit;
}

std::uint32_t quota_tokens::lent_content(base::clock::time_point now) const noexcept {
    std::uint32_t content = 0;
    const auto newest = newest_slot_.load(std::memory_order_acquire);
    for (auto number = slot_of(now) + 1; number <= newest; ++number) {
        const auto value = lent_[number % slots].load(std::memory_order_relaxed);
        content += (value >> count_bits) == number ? static_cast<std::uint32_t>(value & count_mask) : 0;
    }
    return content;
}

} // namespace daemons
