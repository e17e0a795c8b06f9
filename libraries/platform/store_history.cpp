#include <platform/store_history.hpp>

#include <platform/events.hpp>

#include <base/event.hpp>

#include <charconv>
#include <cstdint>
#include <system_error>

namespace platform {

namespace {

std::optional<base::store_era> parse_era(std::string_view text) {
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, number);
    const bool is_valid =
        failure == std::errc{} && rest == end && number > 0 && number <= base::max_store_era;
    return is_valid ? std::optional{static_cast<base::store_era>(number)} : std::nullopt;
}

} // namespace

std::optional<base::error> store_history::note_response(std::optional<std::string_view> stated) {
    if (!stated) {
        if (era_ != base::store_era::unstated) {
            return reject("the response does not state the store's history");
        }
        if (!has_noted_absence_) {
            has_noted_absence_ = true;
            base::log_event(events::store_history_unstated, {});
        }
        return std::nullopt;
    }
    const auto era = parse_era(*stated);
    if (!era) {
        return reject("the response states a malformed history");
    }
    if (*era < era_) {
        return reject("the response states history " + std::string{*stated} + " after " +
                      std::to_string(base::number_of(era_)));
    }
    last_rejection_.clear();
    enter(*era, "store");
    return std::nullopt;
}

void store_history::note_peer(base::store_era stated, const std::string& peer) {
    if (stated > era_) {
        enter(stated, peer);
    }
}

base::error store_history::reject(const std::string& reason) {
    if (reason != last_rejection_) {
        last_rejection_ = reason;
        base::log_event(events::store_response_rejected, {{"reason", reason}});
    }
    return base::error{base::error_kind::platform_unavailable, reason};
}

void store_history::enter(base::store_era era, const std::string& source) {
    if (era == era_) {
        return;
    }
    const auto before = era_;
    era_ = era;
    on_change_(before, era, source);
}

} // namespace platform
