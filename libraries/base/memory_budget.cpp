#include <base/memory_budget.hpp>

namespace base {

namespace {

/// The part of a host's memory that clients may use, and each part's percentage of it.
constexpr std::uint64_t client_percent = 50;
constexpr std::uint64_t all_percent = 100;
constexpr std::array<std::uint64_t, memory_part_count> part_percents{12, 28, 20, 20, 20};

} // namespace

std::string_view name_of(memory_part part) noexcept {
    switch (part) {
    case memory_part::connections:
        return "connections";
    case memory_part::input:
        return "input";
    case memory_part::values:
        return "values";
    case memory_part::responses:
        return "responses";
    case memory_part::queued:
        return "queued";
    }
    return "unknown";
}

memory_shares divide_memory(std::uint64_t memory_bytes) noexcept {
    memory_shares shares;
    const auto clients = memory_bytes / all_percent * client_percent;
    for (std::size_t part = 0; part < memory_part_count; ++part) {
        shares.bytes_.at(part) = clients / all_percent * part_percents.at(part);
    }
    return shares;
}

void memory_budget::set_shares(const memory_shares& shares) noexcept {
    for (const auto part : memory_parts) {
        state_of(part).share_.store(shares.of(part), std::memory_order_relaxed);
    }
}

bool memory_budget::try_take(memory_part part, std::uint64_t bytes) noexcept {
    auto& state = state_of(part);
    auto held = state.held_.load(std::memory_order_relaxed);
    for (;;) {
        const auto share = state.share_.load(std::memory_order_relaxed);
        if (bytes > share || held > share - bytes) {
            state.shortages_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (state.held_.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed)) {
            return true;
        }
    }
}

void memory_budget::take(memory_part part, std::uint64_t bytes) noexcept {
    state_of(part).held_.fetch_add(bytes, std::memory_order_relaxed);
}

void memory_budget::give_back(memory_part part, std::uint64_t bytes) noexcept {
    state_of(part).held_.fetch_sub(bytes, std::memory_order_relaxed);
}

std::uint64_t memory_budget::held(memory_part part) const noexcept {
    return state_of(part).held_.load(std::memory_order_relaxed);
}

std::uint64_t memory_budget::share(memory_part part) const noexcept {
    return state_of(part).share_.load(std::memory_order_relaxed);
}

std::uint64_t memory_budget::shortages(memory_part part) const noexcept {
    return state_of(part).shortages_.load(std::memory_order_relaxed);
}

bool memory_hold::try_resize(std::uint64_t bytes) noexcept {
    if (budget_ != nullptr && bytes > bytes_ && !budget_->try_take(part_, bytes - bytes_)) {
        return false;
    }
    if (budget_ != nullptr && bytes < bytes_) {
        budget_->give_back(part_, bytes_ - bytes);
    }
    bytes_ = bytes;
    return true;
}

void memory_hold::resize(std::uint64_t bytes) noexcept {
    if (budget_ != nullptr && bytes > bytes_) {
        budget_->take(part_, bytes - bytes_);
    } else if (budget_ != nullptr) {
        budget_->give_back(part_, bytes_ - bytes);
    }
    bytes_ = bytes;
}

} // namespace base
