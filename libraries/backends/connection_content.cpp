#include <backends/connection_content.hpp>

#include <algorithm>

namespace backends {

namespace {

// Deallocations of sessions are not sent to databases, so a connection would collect all statements ever
// used.
constexpr std::size_t max_prepared_statements = 64;
constexpr std::size_t max_prepared_bytes = std::size_t{64} * 1024;

} // namespace

bool connection_content::needs_reset(const std::map<std::string, std::string>& session) const {
    return is_reset_due_ || std::any_of(values_.begin(), values_.end(), [&session](const auto& current) {
               return !session.contains(current.first);
           });
}

content_change connection_content::change_for(const std::map<std::string, std::string>& session,
                                              const std::optional<base::prepared_statement>& prepared) const {
    content_change change;
    change.reset_ = needs_reset(session);
    for (const auto& [name, value] : session) {
        const auto current = values_.find(name);
        if (change.reset_ || current == values_.end() || current->second != value) {
            change.values_.emplace_back(name, value);
        }
    }
    if (prepared && (change.reset_ || !prepared_.contains(*prepared))) {
        change.prepare_ = named_statement{last_name_.next(), *prepared};
    }
    return change;
}

void connection_content::apply(const content_change& change) {
    if (change.reset_) {
        values_.clear();
        prepared_.clear();
        prepared_bytes_ = 0;
        is_reset_due_ = false;
    }
    for (const auto& [name, value] : change.values_) {
        values_.insert_or_assign(name, value);
    }
    if (change.prepare_) {
        last_name_ = change.prepare_->name_;
        prepared_bytes_ += change.prepare_->statement_.text_.size();
        prepared_.emplace(change.prepare_->statement_, last_name_);
    }
}

void connection_content::end_use() noexcept {
    is_reset_due_ = prepared_.size() > max_prepared_statements || prepared_bytes_ > max_prepared_bytes;
}

std::size_t connection_content::distance_to(const std::map<std::string, std::string>& session) const {
    return change_for(session, std::nullopt).values_.size() + (needs_reset(session) ? 1 : 0);
}

} // namespace backends
