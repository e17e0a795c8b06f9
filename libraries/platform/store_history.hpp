#pragma once

#include <base/error.hpp>
#include <base/store_revision.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace platform {

/// Follows in which history the store is, by what its responses and other daemons state.
///
/// A response that states none, a malformed number or an earlier history is not used, because it cannot be
/// told which history its revisions belong to. A store that has never stated one is used as it is. Thread
/// safety: owned by one thread.
class store_history {
public:
    /// Called when the store is known to be in another history than before. The source is the store or the
    /// address of a daemon.
    using listener =
        std::function<void(base::store_era before, base::store_era now, const std::string& source)>;

    explicit store_history(listener on_change) : on_change_{std::move(on_change)} {}

    [[nodiscard]] base::store_era era() const noexcept { return era_; }

    /// Records what a response of the store states, or that it states nothing. Returns why the response
    /// cannot be used, or nothing.
    [[nodiscard]] std::optional<base::error> note_response(std::optional<std::string_view> stated);
    /// Records the history that another daemon states.
    void note_peer(base::store_era stated, const std::string& peer);

private:
    [[nodiscard]] base::error reject(const std::string& reason);
    void enter(base::store_era era, const std::string& source);

    listener on_change_;
    base::store_era era_ = base::store_era::unstated;
    /// The reason for which the last response was rejected; empty if it was used.
    std::string last_rejection_;
    bool has_noted_absence_ = false;
};

} // namespace platform
