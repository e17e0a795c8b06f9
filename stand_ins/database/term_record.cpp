#include <stand_ins/database/term_record.hpp>

namespace stand_ins::database {

namespace {

bool was_granted_to(const term_record& current, std::uint64_t term, std::string_view proposer) {
    return term == current.term() && !proposer.empty() && proposer == current.proposer();
}

} // namespace

std::optional<term_record> grant_term(const term_record& current, std::uint64_t term,
                                      std::string_view proposer) {
    if (proposer.empty()) {
        return std::nullopt;
    }
    if (term > current.term()) {
        return term_record{term, std::string{proposer}, 0};
    }
    return was_granted_to(current, term, proposer) ? std::optional{current} : std::nullopt;
}

std::optional<term_record> promote_in_term(const term_record& current, std::uint64_t term,
                                           std::string_view proposer, std::uint64_t next_index) {
    if (!was_granted_to(current, term, proposer)) {
        return std::nullopt;
    }
    return current.is_primary() ? current : term_record{term, current.proposer(), next_index};
}

std::optional<term_record> follow_term(const term_record& current, std::uint64_t term) {
    if (term < current.term() || (term == current.term() && current.is_primary())) {
        return std::nullopt;
    }
    return term == current.term() ? current : term_record{term, {}, 0};
}

} // namespace stand_ins::database
