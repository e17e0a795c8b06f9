#pragma once

#include <base/read_copy_update.hpp>

#include <atomic>
#include <memory>
#include <utility>

namespace base {

/// A value that one thread replaces while other threads read it without blocking (read-copy-update).
/// Thread safety: `read` and `get` on any thread; `publish` on one thread at a time.
template <typename T>
class snapshot {
public:
    explicit snapshot(T initial) : current_{make_holder(std::move(initial))} {}

    /// Precondition: no thread reads the value any more.
    ~snapshot() { delete current_.load(std::memory_order_acquire); }

    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;
    snapshot(snapshot&&) = delete;
    snapshot& operator=(snapshot&&) = delete;

    /// Calls `reader` with the current value inside a read section and returns its result.
    /// Precondition: `reader` does not suspend and keeps no reference to the value.
    template <typename Reader>
    auto read(Reader&& reader) const {
        const read_section section;
        return std::forward<Reader>(reader)(**current_.load(std::memory_order_acquire));
    }

    /// Returns the current value with shared ownership, which may be held across `co_await`.
    [[nodiscard]] std::shared_ptr<const T> get() const {
        const read_section section;
        return *current_.load(std::memory_order_acquire);
    }

    /// Replaces the value. The old value is freed once no read section can access it.
    void publish(T value) {
        auto* previous = current_.exchange(make_holder(std::move(value)), std::memory_order_acq_rel);
        retire(std::shared_ptr<const holder>{previous});
    }

private:
    using holder = std::shared_ptr<const T>;

    static holder* make_holder(T value) { return new holder{std::make_shared<const T>(std::move(value))}; }

    std::atomic<holder*> current_;
};

} // namespace base
