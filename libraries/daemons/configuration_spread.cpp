#include <daemons/configuration_spread.hpp>

#include <algorithm>
#include <utility>

namespace daemons {

namespace {

class spreader {
public:
    spreader(spread_state state, base::clock::time_point now) : state_{std::move(state)}, now_{now} {}

    spread_step finish() && {
        choose_fetch();
        return {std::move(state_), std::move(fetch_), verdict_};
    }

    void operator()(const spread_started& event) {
        const auto count = std::min(event.peers_.size(), most_first_peers);
        state_.unasked_.assign(event.peers_.begin(),
                               event.peers_.begin() + static_cast<std::ptrdiff_t>(count));
    }

    void operator()(const revision_announced& event) {
        const auto& source = event.source_;
        std::erase_if(state_.sources_, [&](const auto& known) { return known.peer_ == source.peer_; });
        if (source.revision_ <= state_.revision_) {
            return;
        }
        if (state_.sources_.size() >= most_sources) {
            // The peer that is furthest behind is the least useful one.
            state_.sources_.erase(std::ranges::min_element(state_.sources_, {}, &revision_source::revision_));
        }
        state_.sources_.push_back(source);
    }

    void operator()(const fetch_succeeded& event) {
        end_fetch();
        accept(event.revision_);
        // A peer without any configuration may just have restarted itself, so the next one is asked.
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

    // Whoever was asked is no source any more: either its revision is in force now, or it failed. It becomes
    // one again with its next announcement.
    void end_fetch() {
        if (state_.fetching_) {
            std::erase_if(state_.sources_,
                          [&](const auto& known) { return known.peer_ == *state_.fetching_; });
        }
        state_.fetching_.reset();
    }

    void become_ready() {
        state_.phase_ = spread_phase::ready;
        state_.unasked_.clear();
    }

    void choose_fetch() {
        if (state_.fetching_) {
            return;
        }
        if (state_.phase_ == spread_phase::asking_peers) {
            ask_first_peer();
            return;
        }
        if (!state_.sources_.empty() && now_ >= state_.next_fetch_) {
            const auto best = std::ranges::max_element(state_.sources_, {}, &revision_source::revision_);
            start_fetch(best->peer_);
        }
    }

    void ask_first_peer() {
        if (state_.unasked_.empty()) {
            state_.phase_ = spread_phase::asking_store;
            choose_fetch();
            return;
        }
        const auto peer = state_.unasked_.front();
        state_.unasked_.erase(state_.unasked_.begin());
        start_fetch(peer);
    }

    void start_fetch(const base::endpoint& peer) {
        fetch_ = peer;
        state_.fetching_ = peer;
        state_.next_fetch_ = now_ + fetch_pause;
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
