#pragma once

#include <memory>

/// Read-copy-update by liburcu (memb flavour), without its headers.
namespace base {

/// A read-side critical section. While it exists no object that it could have reached is freed.
///
/// Registers its thread with liburcu on first use. Precondition: does not live across a `co_await`, because
/// the coroutine may resume on another thread. Thread safety: one per scope, used by the thread that made it.
class read_section {
public:
    read_section() noexcept;
    ~read_section();
    read_section(const read_section&) = delete;
    read_section& operator=(const read_section&) = delete;
    read_section(read_section&&) = delete;
    read_section& operator=(read_section&&) = delete;
};

/// Frees `object` after all read sections that exist now have ended. Does not wait. Thread safety: any
/// thread.
void retire(std::shared_ptr<const void> object);

/// Waits until all retired objects are freed. Precondition: not inside a read section. Thread safety: any
/// thread.
void wait_for_retired();

} // namespace base
