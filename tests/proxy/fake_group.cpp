#include "fake_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace fakes {

namespace asio = boost::asio;
using base::clock;

namespace {

constexpr clock::duration step{2};

base::error lost(const char* reason) {
    return base::error{base::error_kind::connection_failed, reason};
}

backends::execute_response refused(const database& by, backends::refusal reason) {
    return backends::execute_response_fields{.refusal_ = reason, .term_ = by.term_};
}

} // namespace

const log_entry* database::find_key(const std::string& key) const {
    const auto found =
        std::find_if(log_.begin(), log_.end(), [&key](const auto& entry) { return entry.key_ == key; });
    return found == log_.end() ? nullptr : &*found;
}

int database::count_statement(const std::string& statement) const {
    int count = 0;
    for (const auto& entry : log_) {
        count += static_cast<int>(std::count(entry.statements_.begin(), entry.statements_.end(), statement));
    }
    return count;
}

group::group() {
    for (std::size_t index = 0; index < databases_.size(); ++index) {
        databases_[index].name_ = "d" + std::to_string(index);
    }
    databases_[0].is_primary_ = true;
}

std::vector<operators::database_declaration> group::declarations() const {
    std::vector<operators::database_declaration> declared;
    for (std::size_t index = 0; index < databases_.size(); ++index) {
        declared.push_back({.name_ = databases_[index].name_,
                            .address_ = {"127.0.0.1", static_cast<std::uint16_t>(index)},
                            .failure_domain_ = "domain"});
    }
    return declared;
}

void group::replicate(const database& from) {
    for (auto& other : databases_) {
        if (&other != &from && other.is_replicating_ && other.term_ <= from.term_) {
            other.term_ = from.term_;
            other.is_primary_ = false;
            other.log_ = from.log_;
        }
    }
}

backends::term_response group::raise(database& target, const backends::takeover_request& step) {
    const bool granted =
        step.term_ > target.term_ || (step.term_ == target.term_ && step.proposer_ == target.raised_by_);
    if (step.term_ > target.term_) {
        target.term_ = step.term_;
        target.raised_by_ = step.proposer_;
        target.is_primary_ = false;
    }
    return {.accepted_ = granted, .term_ = target.term_, .last_ = target.last()};
}

backends::term_response group::promote(database& target, const backends::takeover_request& step) {
    const bool promoted = step.term_ == target.term_ && step.proposer_ == target.raised_by_;
    if (promoted && !target.is_primary_) {
        target.is_primary_ = true;
        target.log_.push_back({.term_ = step.term_});
        replicate(target);
    }
    return {.accepted_ = promoted, .term_ = target.term_, .last_ = target.last()};
}

void group::replace_primary(std::uint64_t term) {
    const backends::takeover_request raising{
        .step_ = backends::takeover_step::raise, .term_ = term, .proposer_ = "other"};
    static_cast<void>(raise(databases_[1], raising));
    static_cast<void>(raise(databases_[2], raising));
    static_cast<void>(promote(databases_[1], raising));
}

connection::connection(group& owner, database& target)
    : state_{std::make_shared<state>(
          state{.owner_ = &owner, .target_ = &target, .number_ = ++owner.last_connection_})} {}

void connection::close() {
    if (!lifetime::exists(&lifetime_)) {
        ADD_FAILURE() << "a connection is closed that no longer exists";
        return;
    }
    state_->is_open_ = false;
    state_->open_transaction_.reset();
    state_->owner_->closed_.insert(state_->number_);
}

// Waits while the database is frozen or holds statements.
asio::awaitable<std::optional<base::error>> connection::reach(std::shared_ptr<state> self,
                                                              clock::duration timeout, bool is_statement) {
    const auto until = clock::now() + timeout;
    co_await http::sleep_for(is_statement ? self->target_->statement_time_ : clock::duration{1});
    while (self->is_open_ && clock::now() < until &&
           (self->target_->is_frozen_ || (is_statement && self->target_->holds_statements_))) {
        co_await http::sleep_for(step);
    }
    if (!self->is_open_) {
        co_return lost("closed");
    }
    if (clock::now() >= until) {
        self->is_open_ = false;
        co_return base::error{base::error_kind::timeout, "no answer"};
    }
    co_return std::nullopt;
}

asio::awaitable<base::result<backends::database_status>>
connection::status(std::optional<backends::status_wait> wait, clock::duration timeout) {
    const auto self = state_;
    if (auto failed = co_await reach(self, timeout, false)) {
        co_return *failed;
    }
    const auto until = clock::now() + (wait ? wait->time_ : clock::duration{0});
    while (wait && self->target_->last() <= wait->beyond_ && clock::now() < until) {
        co_await http::sleep_for(step);
    }
    const auto& target = *self->target_;
    co_return backends::database_status{backends::database_status_fields{
        .database_ = target.name_,
        .term_ = target.term_,
        .role_ = target.is_primary_ ? base::database_role::primary : base::database_role::replica,
        .last_ = target.last()}};
}

asio::awaitable<base::result<backends::term_response>> connection::raise(backends::takeover_request asked,
                                                                         clock::duration timeout) {
    const auto self = state_;
    if (auto failed = co_await reach(self, timeout, false)) {
        co_return *failed;
    }
    co_return self->owner_->raise(*self->target_, asked);
}

asio::awaitable<base::result<backends::term_response>> connection::promote(backends::takeover_request asked,
                                                                           clock::duration timeout) {
    const auto self = state_;
    if (auto failed = co_await reach(self, timeout, false)) {
        co_return *failed;
    }
    co_return self->owner_->promote(*self->target_, asked);
}

backends::execute_response connection::write(state& self, const backends::execute_request& request,
                                             const std::vector<std::string>& statements) {
    auto& target = *self.target_;
    const auto* earlier = request->key_ ? target.find_key(*request->key_) : nullptr;
    if (earlier != nullptr && earlier->cancels_) {
        return refused(target, backends::refusal::cancelled);
    }
    if (earlier != nullptr && earlier->fingerprint_ != request->fingerprint_) {
        return refused(target, backends::refusal::key_conflict);
    }
    if (earlier == nullptr) {
        target.log_.push_back({.term_ = target.term_,
                               .statements_ = statements,
                               .key_ = request->key_,
                               .fingerprint_ = request->fingerprint_});
        self.owner_->replicate(target);
    }
    return backends::execute_response_fields{.term_ = target.term_,
                                             .position_ = target.last(),
                                             .results_ = {"written by " + target.name_},
                                             .replayed_ = earlier != nullptr};
}

backends::execute_response connection::execute(state& self, backends::statement_path path,
                                               const backends::execute_request& request) {
    auto& target = *self.target_;
    if (target.refuse_next_) {
        return refused(target, *std::exchange(target.refuse_next_, std::nullopt));
    }
    if (request->term_ != target.term_) {
        return refused(target, backends::refusal::term_stale);
    }
    const bool from_replica = request->minimum_.has_value();
    if (!from_replica && !target.is_primary_) {
        return refused(target, backends::refusal::not_primary);
    }
    if (from_replica && target.last() < *request->minimum_) {
        return refused(target, backends::refusal::behind);
    }
    using backends::statement_path;
    const bool starts = path == statement_path::begin;
    if (path != statement_path::execute && starts == self.open_transaction_.has_value()) {
        return refused(target, backends::refusal::no_transaction);
    }
    if (starts) {
        self.open_transaction_.emplace();
    }
    if (path == statement_path::execute && request->access_ == base::access::write) {
        return write(self, request, request->statements_);
    }
    if (path == statement_path::commit) {
        return write(self, request, *std::exchange(self.open_transaction_, std::nullopt));
    }
    if (path == statement_path::rollback) {
        self.open_transaction_.reset();
    } else if (self.open_transaction_) {
        self.open_transaction_->insert(self.open_transaction_->end(), request->statements_.begin(),
                                       request->statements_.end());
    }
    return backends::execute_response_fields{
        .term_ = target.term_, .position_ = target.last(), .results_ = {"read from " + target.name_}};
}

asio::awaitable<base::result<backends::execute_response>>
connection::run(backends::statement_path path, backends::execute_request statements,
                clock::duration timeout) {
    const auto self = state_;
    auto& target = *self->target_;
    const received arrived{self->number_, target.name_, path, statements->statements_};
    self->owner_->received_.push_back(arrived);
    if (auto failed = co_await reach(self, timeout, true)) {
        co_return *failed;
    }
    if (target.lose_before_effect_ > 0) {
        --target.lose_before_effect_;
        self->is_open_ = false;
        self->open_transaction_.reset();
        co_return lost("lost before the effect");
    }
    const auto response = execute(*self, path, statements);
    const bool has_effect =
        path == backends::statement_path::execute || path == backends::statement_path::commit;
    if (has_effect && target.lose_after_effect_ > 0) {
        --target.lose_after_effect_;
        self->is_open_ = false;
        co_return lost("lost after the effect");
    }
    co_return response;
}

asio::awaitable<base::result<backends::settle_response>>
connection::settle(backends::settle_request settle_call, clock::duration timeout) {
    const auto self = state_;
    ++self->owner_->settles_;
    if (auto failed = co_await reach(self, timeout, true)) {
        co_return *failed;
    }
    auto& target = *self->target_;
    if (settle_call->term_ != target.term_ || !target.is_primary_) {
        co_return backends::settle_response{backends::settle_response_fields{
            .refusal_ = backends::refusal::term_stale, .term_ = target.term_}};
    }
    const auto* known = target.find_key(settle_call->key_);
    if (known == nullptr) {
        target.log_.push_back({.term_ = target.term_,
                               .key_ = settle_call->key_,
                               .fingerprint_ = settle_call->fingerprint_,
                               .cancels_ = true});
        self->owner_->replicate(target);
        known = &target.log_.back();
    }
    const auto outcome =
        known->cancels_ ? backends::settled_outcome::cancelled : backends::settled_outcome::done;
    co_return backends::settle_response{
        backends::settle_response_fields{.term_ = target.term_,
                                         .outcome_ = outcome,
                                         .results_ = {"recorded by " + target.name_},
                                         .position_ = target.last()}};
}

asio::awaitable<base::result<connection>> connector::connect(base::endpoint address,
                                                             clock::duration /*timeout*/) const {
    co_await http::sleep_for(clock::duration{1});
    auto& target = owner_->databases_.at(address.port());
    if (target.is_frozen_) {
        co_return lost("refused");
    }
    co_return fakes::connection{*owner_, target};
}

asio::awaitable<backends::suspicion_result>
check::operator()(operators::database_declaration suspected) const {
    const bool is_frozen = owner_->databases_.at(suspected.address_.port()).is_frozen_;
    co_return is_frozen ? backends::suspicion_result::not_reached : backends::suspicion_result::reached;
}

} // namespace fakes
