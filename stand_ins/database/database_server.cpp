#include <stand_ins/database/database_server.hpp>

#include <http/sleep.hpp>
#include <stand_ins/database/database_codec.hpp>
#include <stand_ins/database/decisions.hpp>

#include <algorithm>
#include <stdexcept>

namespace stand_ins::database {

namespace asio = boost::asio;

namespace {

constexpr std::string_view control_prefix = "/control/";
constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;

bool is_work(std::string_view path) {
    return path == "/v1/execute" || path == "/v1/begin" || path == "/v1/statement" || path == "/v1/commit" ||
           path == "/v1/rollback" || path == "/v1/settle";
}

bool is_new_work(std::string_view path) {
    return path == "/v1/execute" || path == "/v1/begin";
}

bool takes_slot(std::string_view path) {
    return path != "/v1/rollback" && path != "/v1/settle";
}

std::string caller_of(const http::request& message) {
    return std::string{http::find_header(message->headers_, "Sassafrasdeal-From").value_or("")};
}

http::response plain_error(unsigned status, const base::error& reason) {
    return http::response_fields{status, {{"Content-Type", "text/plain"}}, reason.to_string()};
}

} // namespace

// Holds one of the database's slots for its lifetime.
class database_server::slot_holder {
public:
    explicit slot_holder(database_server& owner) : owner_{owner} {
        ++owner_.counts_.slots_busy_;
        owner_.counts_.slots_peak_ = std::max(owner_.counts_.slots_peak_, owner_.counts_.slots_busy_);
    }
    ~slot_holder() {
        --owner_.counts_.slots_busy_;
        owner_.slot_freed_.notify_one();
    }
    slot_holder(const slot_holder&) = delete;
    slot_holder& operator=(const slot_holder&) = delete;
    slot_holder(slot_holder&&) = delete;
    slot_holder& operator=(slot_holder&&) = delete;

private:
    database_server& owner_;
};

asio::awaitable<http::response> database_server::answer(http::request message, std::size_t connection) {
    newest_connection_ = std::max(newest_connection_, connection);
    if (message->target_.starts_with(control_prefix)) {
        co_return answer_control(message, connection);
    }
    const auto peer = node_->address_of(caller_of(message));
    co_await node_->wait_for_incoming(peer, connection);
    ++counts_.requests_by_path_[message->target_];
    auto response = co_await answer_peer(message, connection);
    co_await node_->wait_for_outgoing(peer, connection);
    co_return response;
}

asio::awaitable<http::response> database_server::answer_peer(http::request message, std::size_t connection) {
    if (message->target_ == "/v1/replicate") {
        co_return answer_push(message);
    }
    const auto request = decode_request(message->body_);
    if (!request) {
        co_return plain_error(bad_request, request.last_reason());
    }
    if (is_work(message->target_)) {
        count_connection(connection);
    }
    co_await greet(connection);
    auto body = co_await route(message->target_, *request, connection);
    if (body.empty()) {
        const base::error unknown_path{base::error_kind::not_found, "no path " + message->target_};
        co_return plain_error(not_found, unknown_path);
    }
    co_return http::json_response(ok, std::move(body));
}

void database_server::forget(std::size_t connection) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    if (found->second.is_counted_) {
        --counts_.connections_;
    }
    if (found->second.transaction_) {
        --counts_.transactions_open_;
        ++counts_.transactions_rolled_back_;
    }
    connections_.erase(found);
}

http::response database_server::answer_control(const http::request& message, std::size_t connection) {
    const auto request = decode_control_request(message->body_);
    if (!request) {
        return plain_error(bad_request, request.last_reason());
    }
    const auto path = std::string_view{message->target_}.substr(control_prefix.size());
    return run_control(path, *request, connection);
}

http::response database_server::run_control(std::string_view path, const control_request& request,
                                            std::size_t connection) {
    if (path == "log") {
        return http::json_response(ok, encode_log(node_->settings().name_, node_->state()));
    }
    if (path == "counts") {
        return http::json_response(ok, encode_counts(counts_));
    }
    if (path == "lag") {
        node_->set_lag(request.milliseconds_.value_or(base::clock::duration{0}));
    } else if (path == "freeze") {
        node_->set_faults(node_->present_faults().frozen());
    } else if (path == "thaw") {
        node_->set_faults(node_->present_faults().thawed());
    } else if (path == "cut") {
        node_->set_faults(
            node_->present_faults().with_cut(request.direction_, node_->address_of(request.peer_)));
    } else if (path == "heal") {
        node_->set_faults(node_->present_faults().healed());
    } else if (path == "silence") {
        silence_connections(std::max(newest_connection_, connection));
    } else if (path == "leave") {
        node_->leave();
    } else {
        return plain_error(not_found, {base::error_kind::not_found, "no control path " + std::string{path}});
    }
    return http::json_response(ok, "{}");
}

void database_server::silence_connections(std::size_t newest) {
    // A silent connection stays open at the database, but it must not use up the limit for those that replace
    // it: the fault to stage is the silence, not a full database.
    for (auto& [number, record] : connections_) {
        if (record.is_counted_ && number <= newest) {
            record.is_counted_ = false;
            --counts_.connections_;
        }
    }
    node_->set_faults(node_->present_faults().with_silence(newest));
}

http::response database_server::answer_push(const http::request& message) {
    const auto push = decode_push(message->body_);
    if (!push) {
        return plain_error(bad_request, push.last_reason());
    }
    auto decided = decide_push(node_->state(), *push);
    node_->commit(decided.changes_);
    decided.answer_.lag_ms_ = static_cast<std::uint64_t>(node_->lag().count());
    return http::json_response(ok, encode_push_response(decided.answer_));
}

asio::awaitable<void> database_server::greet(std::size_t connection) {
    auto& record = connections_[connection];
    if (!record.is_greeted_) {
        record.is_greeted_ = true;
        co_await http::sleep_for(node_->settings().connect_delay_);
    }
}

void database_server::count_connection(std::size_t connection) {
    auto& record = connections_[connection];
    if (record.is_counted_) {
        return;
    }
    if (counts_.connections_ >= node_->settings().connections_) {
        ++counts_.connections_refused_;
        throw std::runtime_error{"the database has as many connections as it allows"};
    }
    record.is_counted_ = true;
    ++counts_.connections_;
    counts_.connections_peak_ = std::max(counts_.connections_peak_, counts_.connections_);
}

void database_server::count_response(const database_response& answer, std::size_t statements) {
    if (answer.refusal_) {
        ++counts_.refusals_by_reason_[std::string{name_of(*answer.refusal_)}];
    } else if (answer.replayed_) {
        ++counts_.replayed_;
    } else {
        counts_.statements_run_ += statements;
    }
}

asio::awaitable<std::string> database_server::route(std::string path, database_request request,
                                                    std::size_t connection) {
    if (path == "/v1/status") {
        co_return co_await answer_status(request);
    }
    if (path == "/v1/raise") {
        co_return answer_raise(request);
    }
    if (path == "/v1/promote") {
        co_return answer_promote(request);
    }
    if (is_work(path)) {
        const auto answer = co_await run_work(path, request, connection);
        count_response(answer, request->statements_.size());
        co_return encode_response(request, answer);
    }
    co_return std::string{};
}

asio::awaitable<std::string> database_server::answer_status(database_request request) {
    const auto deadline = base::clock::now() + request->wait_;
    const auto leaving_before = node_->leaving_since();
    const auto has_news = [&] {
        const auto& state = node_->state();
        return !request->beyond_ || state.last() > *request->beyond_ ||
               state.terms().term() > request->beyond_->term() || node_->leaving_since() != leaving_before;
    };
    while (!has_news() && base::clock::now() < deadline) {
        co_await node_->changed().wait_for(deadline - base::clock::now());
    }
    co_await node_->wait_for_thaw();
    const status_report report{node_->settings().name_, node_->leaving_since().has_value()};
    co_return encode_status(request, node_->state(), report);
}

std::string database_server::answer_raise(const database_request& request) {
    const auto decided = decide_raise(node_->state(), request);
    node_->commit(decided.changes_);
    return encode_raise(request, node_->state(), decided.granted_);
}

std::string database_server::answer_promote(const database_request& request) {
    const auto decided = decide_promote(node_->state(), request);
    node_->commit(decided.changes_);
    return encode_promote(request, node_->state(), decided.promoted_);
}

asio::awaitable<database_response> database_server::run_work(std::string path, database_request request,
                                                             std::size_t connection) {
    if (const auto reason = check_new_work(path)) {
        co_return refuse(node_->state(), *reason);
    }
    if (!takes_slot(path)) {
        co_return decide_work(path, request, connection);
    }
    const bool has_slot = co_await wait_for_slot();
    if (!has_slot) {
        co_return refuse(node_->state(), refusal_reason::slots_busy);
    }
    const slot_holder slot{*this};
    const auto statements = std::max<std::size_t>(request->statements_.size(), 1);
    co_await http::sleep_for(node_->settings().statement_ * static_cast<std::int64_t>(statements));
    co_await node_->wait_for_thaw();
    // Everything is checked and changed in this one step, after the time that the statements take: a term
    // raised meanwhile refuses the request.
    co_return decide_work(path, request, connection);
}

database_response database_server::decide_work(const std::string& path, const database_request& request,
                                               std::size_t connection) {
    auto& record = connections_[connection];
    if (path == "/v1/begin") {
        return begin(request, record);
    }
    if (path == "/v1/statement") {
        return step(request, record);
    }
    if (path == "/v1/commit") {
        return finish(request, record);
    }
    if (path == "/v1/rollback") {
        return roll_back(request, record);
    }
    auto decided = path == "/v1/settle" ? decide_settle(node_->state(), request)
                                        : decide_execute(node_->state(), request);
    node_->commit(decided.changes_);
    return std::move(decided.answer_);
}

database_response database_server::begin(const database_request& request, connection_record& record) {
    if (record.transaction_) {
        --counts_.transactions_open_;
        ++counts_.transactions_rolled_back_;
    }
    auto decided = begin_transaction(node_->state(), request);
    record.transaction_ = std::move(decided.next_);
    counts_.transactions_open_ += record.transaction_ ? 1 : 0;
    return std::move(decided.answer_);
}

database_response database_server::step(const database_request& request, connection_record& record) {
    if (!record.transaction_) {
        return refuse(node_->state(), refusal_reason::no_transaction);
    }
    auto decided = continue_transaction(node_->state(), *record.transaction_, request);
    record.transaction_ = std::move(decided.next_);
    if (!record.transaction_) {
        --counts_.transactions_open_;
        ++counts_.transactions_rolled_back_;
    }
    return std::move(decided.answer_);
}

database_response database_server::finish(const database_request& request, connection_record& record) {
    if (!record.transaction_) {
        // The repeat of a commit whose answer was lost finds no transaction, but it may find the outcome.
        const auto reason = check_place(node_->state(), request);
        auto recorded = reason ? std::nullopt
                               : response_from_record(node_->state(), request->key_, request->fingerprint_);
        return recorded ? std::move(*recorded)
                        : refuse(node_->state(), reason.value_or(refusal_reason::no_transaction));
    }
    auto decided = commit_transaction(node_->state(), *record.transaction_, request);
    record.transaction_.reset();
    --counts_.transactions_open_;
    counts_.transactions_rolled_back_ += decided.answer_.refusal_ ? 1 : 0;
    node_->commit(decided.changes_);
    return std::move(decided.answer_);
}

database_response database_server::roll_back(const database_request& /*request*/, connection_record& record) {
    if (!record.transaction_) {
        return refuse(node_->state(), refusal_reason::no_transaction);
    }
    record.transaction_.reset();
    --counts_.transactions_open_;
    ++counts_.transactions_rolled_back_;
    return {.term_ = node_->state().terms().term(), .position_ = node_->state().last()};
}

std::optional<refusal_reason> database_server::check_new_work(const std::string& path) {
    if (!node_->leaving_since() || !is_new_work(path)) {
        return std::nullopt;
    }
    const auto since = base::clock::now() - *node_->leaving_since();
    ++counts_.work_after_leaving_;
    counts_.last_work_after_leaving_ = since;
    return since > node_->settings().leave_grace_ ? std::optional{refusal_reason::leaving} : std::nullopt;
}

asio::awaitable<bool> database_server::wait_for_slot() {
    const auto deadline = base::clock::now() + node_->settings().slot_wait_;
    counts_.slots_waited_ += counts_.slots_busy_ >= node_->settings().slots_ ? 1 : 0;
    while (counts_.slots_busy_ >= node_->settings().slots_) {
        const auto now = base::clock::now();
        if (now >= deadline) {
            co_return false;
        }
        co_await slot_freed_.wait_for(deadline - now);
    }
    co_return true;
}

} // namespace stand_ins::database
