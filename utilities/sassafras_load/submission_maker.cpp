#include <utilities/sassafras_load/submission_maker.hpp>

#include <algorithm>
#include <string_view>

namespace sassafras_load {

namespace {

constexpr std::uint64_t all_percent = 100;

std::string replace_all(std::string text, std::string_view word, const std::string& with) {
    for (auto found = text.find(word); found != std::string::npos; found = text.find(word, found)) {
        text.replace(found, word.size(), with);
        found += with.size();
    }
    return text;
}

// Work classes that use the same key pattern of a service read each other's writes.
std::string pattern_of(const work_class& work) {
    const auto& statement = work->statements_.front();
    const auto first = std::min(statement.find(' ') + 1, statement.size());
    return work->service_ + ' ' + statement.substr(first, statement.find(' ', first) - first);
}

} // namespace

bool submission_maker::draw_percent(std::uint64_t percent) {
    return draw_below(all_percent) < percent;
}

std::uint64_t submission_maker::draw_below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(random_);
}

submission submission_maker::make(const work_class& work) {
    return fill(work, draw_below(work->key_space_));
}

submission submission_maker::make(const work_class& work, session& owner) {
    const auto pattern = pattern_of(work);
    const auto own = owner.own_keys_.find(pattern);
    const bool uses_own = own != owner.own_keys_.end() && draw_percent(work->own_key_percent_);
    const auto key = uses_own ? own->second : draw_below(work->key_space_);
    auto fields = fill(work, key);
    fields.session_ = owner.name_;
    fields.sequence_ = ++owner.sequence_;
    fields.token_ = owner.tokens_[work->service_];
    if (work->access_ == base::access::write) {
        owner.own_keys_[pattern] = key;
    }
    return fields;
}

submission_fields submission_maker::fill(const work_class& work, std::uint64_t key) {
    const auto value = name_ + '.' + std::to_string(++made_);
    submission_fields fields{.work_ = work,
                             .tenant_ = work->tenants_[draw_below(work->tenants_.size())],
                             .key_ = work->idempotency_key_ == key_use::none ? "" : value,
                             .sequence_ = made_};
    for (const auto& statement : work->statements_) {
        fields.statements_.push_back(
            replace_all(replace_all(statement, "{key}", std::to_string(key)), "{value}", value));
    }
    return fields;
}

} // namespace sassafras_load
