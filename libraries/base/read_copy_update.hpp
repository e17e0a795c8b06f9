#pragma once

#include <memory>

/// Read-copy-update through liburcu (memb flavour), without exposing its headers.
namespace base {

/// A read-side critical section: objects that were reachable when it began are not freed until it ends.
///
/// Registers the calling thread with liburcu on first use. Precondition: it is not held across a `co_await`,
/// because the coroutine may resume on another thread. Thread safety: used by the constructing thread only.
class read_section {
public:
    read_section() noexcept;
    ~read_section();
    read_section(const read_section&) = delete;
    read_section& operator=(const read_section&) = delete;
    read_section(read_section&&) = delete;
    read_section& operator=(read_section&&) = delete;
};

/// Releases `object` once all current read sections have ended. Does not block. Thread safety: any thread.
void retire(std::shared_ptr<const void> object);

/// Blocks until all retired objects are released. Precondition: the caller is not in a read section.
/// Thread safety: any thread.
void wait_for_retired();

} // namespace base
