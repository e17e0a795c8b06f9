#include <daemons/configuration_spread.hpp>

#include <algorithm>
#include <utility>

namespace daemons {

namespace {

class spreader {
public:
    spreader(spread_state state, base::clock::time_point now) : state_{std::move(state)}, now_{now} {}

    spread_step finish() && {
        schedule_fetch();
        return {std::move(state_), std::move(fetch_), verdict_};
    }

    void operator()(const spread_started& event) {
        const auto count = std::min(event.peers_.size(), max_initial_peers);
        state_.initial_peers_.assign(event.peers_.begin(),
                                     event.peers_.begin() + static_cast<std::ptrdiff_t>(count));
    }

    void operator()(const revision_announced& event) {
        const auto& source = event.source_;
        std::erase_if(state_.sources_, [&](const auto& known) { return known.peer_ == source.peer_; });
        if (source.revision_ <= state_.revision_) {
            return;
        }
        if (state_.sources_.size() >= max_sources) {
            // Drops the source with the lowest revision.
            state_.sources_.erase(std::ranges::min_element(state_.sources_, {}, &revision_source::revision_));
        }
        state_.sources_.push_back(source);
    }

    void operator()(const fetch_succeeded& event) {
        end_fetch();
        accept(event.revision_);
        // A peer without a configuration may have just restarted itself, so the next one is tried.
        if (event.revision_ > 0) {
            become_ready();
        }
    }

    void operator()(const fetch_failed& /*event*/) { end_fetch(); }

    void operator()(const store_responded& event) {
        accept(event.revision_);
        become_ready();
    }

    void operator()(const spread_time_passed& /*event*/) {}

private:
    void accept(std::uint64_t revision) {
        if (revision <= state_.revision_) {
            return;
        }
        state_.revision_ = revision;
        verdict_ = spread_step::verdict::accept;
        std::erase_if(state_.sources_, [&](const auto& known) { return known.revision_ <= revision; });
    }

    // Removes the peer of this fetch from the sources: either its revision is active now, or it failed. Its
    // next announcement adds it again.
    void end_fetch() {
        if (state_.fetch_in_progress_) {
            std::erase_if(state_.sources_,
                          [&](const auto& known) { return known.peer_ == *state_.fetch_in_progress_; });
        }
        state_.fetch_in_progress_.reset();
    }

    void become_ready() {
        state_.phase_ = spread_phase::ready;
        state_.initial_peers_.clear();
    }

    void schedule_fetch() {
        if (state_.fetch_in_progress_) {
            return;
        }
        if (state_.phase_ == spread_phase::asking_peers) {
            fetch_from_initial_peer();
            return;
        }
        if (!state_.sources_.empty() && now_ >= state_.next_fetch_) {
            const auto best = std::ranges::max_element(state_.sources_, {}, &revision_source::revision_);
            start_fetch(best->peer_);
        }
    }

    void fetch_from_initial_peer() {
        if (state_.initial_peers_.empty()) {
            state_.phase_ = spread_phase::asking_store;
            schedule_fetch();
            return;
        }
        const auto peer = state_.initial_peers_.front();
        state_.initial_peers_.erase(state_.initial_peers_.begin());
        start_fetch(peer);
    }

    void start_fetch(const base::endpoint& peer) {
        fetch_ = peer;
        state_.fetch_in_progress_ = peer;
        state_.next_fetch_ = now_ + min_fetch_interval;
    }

    spread_state state_;
    base::clock::time_point now_;
    std::optional<base::endpoint> fetch_;
    spread_step::verdict verdict_ = spread_step::verdict::none;
};

} // namespace

spread_step step(spread_state state, const spread_event& event, base::clock::time_point now) {
    spreader working{std::move(state), now};
    std::visit(working, event);
    return std::move(working).finish();
}

} // namespace daemons
