#include <stand_ins/database/faults.hpp>

#include <algorithm>

namespace stand_ins::database {

faults faults::frozen() const {
    auto changed = *this;
    changed.is_frozen_ = true;
    return changed;
}

faults faults::thawed() const {
    auto changed = *this;
    changed.is_frozen_ = false;
    return changed;
}

faults faults::with_cut(cut_direction direction, std::string peer) const {
    auto changed = *this;
    changed.cuts_.emplace(direction, std::move(peer));
    return changed;
}

faults faults::healed() const {
    auto changed = *this;
    changed.cuts_.clear();
    return changed;
}

faults faults::with_silence(std::size_t newest) const {
    auto changed = *this;
    changed.silent_up_to_ = std::max(changed.silent_up_to_, newest);
    return changed;
}

bool faults::holds_incoming(const std::string& peer) const {
    return is_frozen_ || is_cut(cut_direction::in, peer);
}

bool faults::holds_outgoing(const std::string& peer) const {
    return is_frozen_ || is_cut(cut_direction::out, peer);
}

bool faults::is_cut(cut_direction direction, const std::string& peer) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const cut& one) {
        return (one.first == direction || one.first == cut_direction::both) &&
               (one.second.empty() || one.second == peer);
    });
}

} // namespace stand_ins::database
