#include <daemons/member.hpp>

#include <tuple>

namespace daemons {

namespace {

// Four lengths of 4 bytes, port, incarnation, state and revision.
constexpr std::size_t fixed_member_bytes = 4 * 4 + 2 + 8 + 1 + 8;

} // namespace

std::string_view name_of(member_state state) noexcept {
    switch (state) {
    case member_state::live:
        return "live";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

bool overrides(const member& update, const member& known) noexcept {
    return std::tuple{update->incarnation_, update->state_} > std::tuple{known->incarnation_, known->state_};
}

bool is_serving(const member& known) noexcept {
    return known->state_ == member_state::live || known->state_ == member_state::suspect;
}

std::size_t wire_bytes(const member& known) noexcept {
    return fixed_member_bytes + known->name_.size() + known->address_.address().size() +
           known->region_.size() + known->failure_domain_.size();
}

} // namespace daemons
