#pragma once

#include <cstdint>

namespace proxy {

/// Increments a counter for the lifetime of the object. Thread safety: used by the thread that owns the
/// counter.
class scoped_count {
public:
    /// Precondition: `counter` outlives this object.
    explicit scoped_count(std::uint64_t& counter) : counter_{counter} { ++counter_; }
    ~scoped_count() { --counter_; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;
    scoped_count(scoped_count&&) = delete;
    scoped_count& operator=(scoped_count&&) = delete;

private:
    std::uint64_t& counter_;
};

} // namespace proxy
