#pragma once

#include <backends/primary_directory.hpp>
#include <base/clock.hpp>
#include <base/snapshot.hpp>

#include <compare>
#include <string_view>
#include <utility>

namespace backends {

/// The primaries that may be used, and until when. They are one value: the lease is proof that no takeover
/// has replaced these primaries, and says nothing about those of an earlier view.
struct leased_primaries {
    base::clock::time_point expiry_{};
    primary_directory primaries_;

    friend auto operator<=>(const leased_primaries&, const leased_primaries&) = default;
};

/// This daemon's primary lease, published to all threads by read-copy-update. A request thread may use a
/// primary only while the lease covers it. Its own view of the service does not tell: a renewed lease reaches
/// the thread at once, and a new view only after the work that waits there. Thread safety: any thread;
/// published by the control thread.
class published_lease {
public:
    /// Returns whether a database may be used as the primary of a service at a moment.
    [[nodiscard]] bool covers(std::string_view service, std::string_view database,
                              base::clock::time_point moment) const {
        return current_.read([&](const leased_primaries& lease) {
            return moment < lease.expiry_ && lease.primaries_.contains(service, database);
        });
    }

    /// Replaces the lease.
    void publish(leased_primaries lease) { current_.publish(std::move(lease)); }

    [[nodiscard]] base::clock::time_point expiry() const {
        return current_.read([](const leased_primaries& lease) { return lease.expiry_; });
    }

private:
    base::snapshot<leased_primaries> current_{leased_primaries{}};
};

} // namespace backends
