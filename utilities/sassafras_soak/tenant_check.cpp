#include <utilities/sassafras_soak/tenant_check.hpp>

#include <algorithm>
#include <optional>

namespace soak {

namespace {

// `config-apply-ms` and `downgrade-slack-ms` of the deployments.
constexpr base::clock::duration apply_limit{5'000};
constexpr base::clock::duration downgrade_slack{250};

/// Versions of the configuration that a statement may have run under.
struct version_range {
    std::uint64_t oldest_ = 0;
    std::uint64_t newest_ = 0;
};

/// Returns since when the keys in force may count for a statement that arrived at a daemon at `at`.
base::clock::time_point counted_from(const key_history& keys, std::uint32_t daemon,
                                     base::clock::time_point at) {
    auto from = at - apply_limit;
    bool has_changed = true;
    while (has_changed) {
        has_changed = false;
        for (const auto& lost : keys.lost_) {
            // The daemon had not been in contact again for long enough.
            const bool is_recent = lost.daemon_ == daemon && lost.begin_ <= at && lost.end_ > from;
            if (is_recent && lost.begin_ - apply_limit < from) {
                from = lost.begin_ - apply_limit;
                has_changed = true;
            }
        }
    }
    return from;
}

/// Returns the versions between two times in which the tenant held the key; empty for none.
std::optional<version_range> versions_of(const std::vector<key_holding>& holdings, const std::string& tenant,
                                         base::clock::time_point from, base::clock::time_point until) {
    std::optional<version_range> range;
    for (std::size_t index = 0; index < holdings.size(); ++index) {
        const auto& one = holdings[index];
        const bool is_last = index + 1 == holdings.size();
        const bool is_over = !is_last && holdings[index + 1].from_ < from;
        if (one.tenant_ != tenant || is_over || one.from_ > until) {
            continue;
        }
        const auto newest = is_last ? UINT64_MAX : holdings[index + 1].version_ - 1;
        range = {range ? range->oldest_ : one.version_, newest};
    }
    return range;
}

struct dated_range {
    base::clock::time_point sent_at_{};
    base::clock::time_point ran_at_{};
    version_range versions_;
    std::string name_;
};

void check_order(std::vector<dated_range> statements, std::vector<std::string>& broken) {
    std::sort(statements.begin(), statements.end(),
              [](const auto& left, const auto& right) { return left.ran_at_ < right.ran_at_; });
    auto by_sending = statements;
    std::sort(by_sending.begin(), by_sending.end(),
              [](const auto& left, const auto& right) { return left.sent_at_ < right.sent_at_; });
    std::uint64_t used = 0;
    auto next = statements.begin();
    for (const auto& one : by_sending) {
        for (; next != statements.end() && next->ran_at_ + downgrade_slack < one.sent_at_; ++next) {
            used = std::max(used, next->versions_.oldest_);
        }
        if (one.versions_.newest_ < used) {
            broken.push_back(one.name_ + " after its daemon had used version " + std::to_string(used));
        }
    }
}

} // namespace

std::vector<std::string> check_tenants(const client_history& history, const key_history& keys,
                                       const std::vector<stand_ins::seen_statement>& ran) {
    std::vector<std::string> broken;
    std::map<std::uint32_t, std::vector<dated_range>> by_daemon;
    for (const auto& one : ran) {
        const auto found = history.sent_.find(one.id_);
        if (found == history.sent_.end()) {
            continue;
        }
        const auto& sent = found->second;
        const auto name = "statement " + one.id_ + " with key " + sent.key_ + " ran as '" + one.tenant_ + "'";
        const auto holdings = keys.holdings_.find(sent.key_);
        const auto from = counted_from(keys, sent.daemon_, sent.sent_at_);
        const auto versions = holdings == keys.holdings_.end() || one.tenant_.empty()
                                  ? std::nullopt
                                  : versions_of(holdings->second, one.tenant_, from, one.ran_at_);
        if (!versions) {
            broken.push_back(name + ", which did not hold it");
            continue;
        }
        by_daemon[sent.daemon_].push_back({sent.sent_at_, one.ran_at_, *versions, name});
    }
    for (auto& [daemon, statements] : by_daemon) {
        check_order(std::move(statements), broken);
    }
    for (const auto& refused : history.key_refusals_) {
        const auto holdings = keys.holdings_.find(refused.key_);
        const auto from = counted_from(keys, refused.daemon_, refused.sent_at_);
        // Before its first version nobody held the key.
        const bool was_free = holdings == keys.holdings_.end() || holdings->second.front().from_ > from ||
                              versions_of(holdings->second, {}, from, refused.answered_at_);
        if (!was_free) {
            broken.push_back("key " + refused.key_ + " was refused by daemon " +
                             std::to_string(refused.daemon_) + " although a tenant held it");
        }
    }
    return broken;
}

} // namespace soak
