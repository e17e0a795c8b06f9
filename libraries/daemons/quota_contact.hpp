#pragma once

#include <base/clock.hpp>
#include <daemons/quota_bucket.hpp>
#include <daemons/quota_message.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>

namespace daemons {

/// A daemon's contact with the leader that lends tokens. Decides at which rate the daemon fills its own
/// buckets, what its requests promise to the leader, and until when lent tokens may be used.
///
/// The promise: a request that names a response states that the daemon does not fill its buckets at their
/// whole share before `quota_contact_timeout` has passed since that response was sent. It holds because the
/// daemon counts the time from the arrival of the response, which is later. No delay or loss of messages
/// breaks it. Thread safety: used by one thread only. The caller passes the time.
class quota_contact {
public:
    /// `started_at` is the start of the process.
    explicit quota_contact(base::clock::time_point started_at) noexcept : started_at_{started_at} {}

    /// Records that the daemons know this address from an earlier process, whose promises end
    /// `quota_contact_timeout` after its last response.
    void note_earlier_registration() noexcept { was_registered_ = true; }

    /// Returns from when on the daemon's own buckets are filled at a part of their share.
    [[nodiscard]] base::clock::time_point fills_from() const noexcept;

    /// Records that a request was sent.
    void note_request(std::uint64_t number, base::clock::time_point now);

    /// Records a response. Returns until when the tokens that it lends may be used, or nothing if they may
    /// not: the response has no request, is a duplicate, is late, or comes from an earlier leader.
    std::optional<base::clock::time_point> note_response(std::uint64_t number, std::uint64_t epoch,
                                                         std::uint64_t leader_time_ms,
                                                         base::clock::time_point now);

    /// Returns the part of the share at which the daemon's own buckets are filled at `now`: 0 for a process
    /// that has just started, because daemons without contact do not know of it yet.
    [[nodiscard]] double fill_part(base::clock::time_point now) const noexcept;

    /// Returns the part of the share that applies to the time since the last call of this function: the
    /// lesser one of `fill_part` then and at `now`.
    [[nodiscard]] double part_until(base::clock::time_point now) noexcept;

    /// Returns whether a leader has responded recently.
    [[nodiscard]] bool has_leader(base::clock::time_point now) const noexcept;

    /// Fills in the fields of a request that tell the leader which response was received last. They stay
    /// empty while the leader must not count on this daemon.
    void acknowledge(quota_part_fields& request, base::clock::time_point now) const noexcept;

private:
    struct pending_request {
        std::uint64_t number_ = 0;
        base::clock::time_point sent_at_{};
    };

    base::clock::time_point started_at_;
    bool was_registered_ = false;
    double last_part_ = 0;
    std::deque<pending_request> pending_;
    std::optional<base::clock::time_point> responded_at_;
    std::uint64_t epoch_ = 0;
    std::uint64_t leader_time_ms_ = 0;
    /// The previous leader may count on this daemon until then.
    base::clock::time_point previous_leader_until_{};
};

} // namespace daemons
