#include <utilities/sassafras_soak/soak_client.hpp>

#include <http/sleep.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace soak {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_line_bytes = 65'536;
constexpr base::clock::duration connect_limit{500};
constexpr base::clock::duration response_timeout{5'000};
constexpr base::clock::duration reconnect_pause{40};
constexpr base::clock::rep longest_pause_ms = 25;
constexpr std::uint64_t key_count = 24;
constexpr std::string_view execute = "EXECUTE ";
constexpr std::uint64_t most_operations_in_session = 40;
constexpr std::uint64_t long_session_factor = 20;
// Shares of the operations, in a hundred.
constexpr std::uint64_t write_share = 35;
constexpr std::uint64_t read_share = 45;
constexpr std::uint64_t rollback_share = 20;
constexpr std::uint64_t change_share = 30;

// Names and shapes are few, so that they collide between clients. Several shapes share their first word, and
// some look like statements: a daemon that builds a line from a shape may send another statement.
constexpr std::array<std::string_view, 4> prepared_names{"s1", "s2", "s3", "q2c"};
constexpr std::array<std::string_view, 2> effects{"FETCH", "STORE"};
constexpr std::array<std::string_view, 14> shapes{
    "q2c",      "q2d",      "q2c FETCH abc", "q2c FETCH abd", "q2d STORE mc", "q2c STORE abc", "q2c abc",
    "q2c  abc", "q2c abc ", "q2c\tabc",      "q2c ",          "FETCH",        "STORE k1 v",    "s1"};
constexpr std::array<std::string_view, 2> value_names{"note", "lang"};
constexpr std::array<std::string_view, 6> session_texts{
    "hr", "two words", "two  blanks", "blank at the end ", "a\ttab", "FETCH k1"};
// The ends of written values, whose beginnings are unique.
constexpr std::array<std::string_view, 6> value_ends{"", "", " two words", " two  blanks", " end ", "\ttab"};

// Answers that promise that nothing of the attempt is kept.
constexpr std::array<std::string_view, 7> promises{"THROTTLED", "ABORTED",   "LAGGING", "READONLY",
                                                   "WRONGNODE", "CONNLIMIT", "UNAUTH"};
constexpr std::string_view unknown_key = "UNAUTH";

} // namespace

soak_client::soak_client(const client_plan& plan, std::uint32_t number, client_history& history)
    : plan_{plan}, number_{number}, history_{history}, random_{plan.seed_ * 1'000 + number},
      key_random_{~plan.seed_ * 1'000 + number} {}

asio::awaitable<void> soak_client::run() {
    while (!is_stopping_) {
        const bool is_open = co_await begin_session();
        if (is_open) {
            co_await run_session();
        } else {
            co_await http::sleep_for(reconnect_pause);
        }
        socket_.reset();
    }
    is_done_ = true;
}

asio::awaitable<bool> soak_client::begin_session() {
    ++session_;
    values_.clear();
    prepared_.clear();
    route_ = plan_.routes_.at(below(plan_.routes_.size()));
    daemon_ = static_cast<std::uint32_t>(below(plan_.ports_.size()));
    const auto port = plan_.ports_.at(daemon_);
    key_ = plan_.keys_.empty() ? std::string{"soak"} : plan_.keys_.at(key_random_() % plan_.keys_.size());
    socket_ = std::make_unique<http::line_socket>(co_await asio::this_coro::executor);
    base::endpoint daemon{"127.0.0.1", port};
    const bool is_connected = co_await socket_->connect(std::move(daemon), connect_limit, response_timeout);
    if (!is_connected) {
        co_return false;
    }
    socket_->expires_after(response_timeout);
    const auto started_at = base::clock::now();
    auto opening = "START " + route_.database_ + " " + key_ + "\r\n";
    const bool is_sent = co_await socket_->write(std::move(opening));
    if (!is_sent) {
        co_return false;
    }
    const auto greeting = co_await socket_->read_line(max_line_bytes);
    if (greeting && greeting->starts_with(std::string{"ERROR "}.append(unknown_key))) {
        record_key_refusal(started_at);
    }
    if (!greeting || !greeting->starts_with("READY I")) {
        co_return false;
    }
    co_return co_await set_value("tag", tag());
}

asio::awaitable<bool> soak_client::set_value(std::string name, std::string value) {
    auto text = "SET " + name + " " + value;
    const auto response = co_await ask(next_id(), std::move(text));
    if (!response.is_done()) {
        co_return false;
    }
    values_.insert_or_assign(std::move(name), std::move(value));
    co_return true;
}

asio::awaitable<bool> soak_client::prepare(std::string name, std::string effect_and_shape) {
    auto text = "PREPARE " + name + " " + effect_and_shape;
    const auto response = co_await ask(next_id(), std::move(text));
    if (!response.is_done()) {
        co_return false;
    }
    prepared_.insert_or_assign(std::move(name), std::move(effect_and_shape));
    co_return true;
}

asio::awaitable<bool> soak_client::deallocate(std::string name) {
    auto text = "DEALLOC " + name;
    const auto response = co_await ask(next_id(), std::move(text));
    if (!response.is_done()) {
        co_return false;
    }
    prepared_.erase(name);
    // No database may run a name that is gone.
    auto execution = "EXECUTE " + name + " " + any_key();
    const auto refused = co_await ask(next_id(), std::move(execution));
    co_return refused.is_whole_;
}

asio::awaitable<bool> soak_client::change_session_at_times() {
    if (below(100) >= change_share) {
        co_return true;
    }
    auto name = any_of(prepared_names);
    const auto draw = below(4);
    if (draw == 0) {
        auto value_name = any_of(value_names);
        auto value = any_of(session_texts);
        co_return co_await set_value(std::move(value_name), std::move(value));
    }
    if (draw == 1 && prepared_.contains(name)) {
        co_return co_await deallocate(std::move(name));
    }
    auto effect_and_shape = any_of(effects) + " ";
    effect_and_shape += any_of(shapes);
    co_return co_await prepare(std::move(name), std::move(effect_and_shape));
}

asio::awaitable<void> soak_client::run_session() {
    auto left = 1 + below(most_operations_in_session);
    // Half of the sessions last beyond the time in which the withdrawal of a key must take effect.
    left *= plan_.keys_.empty() || number_ % 2 == 0 ? 1 : long_session_factor;
    bool goes_on = true;
    while (goes_on && left > 0 && !is_stopping_) {
        --left;
        goes_on = co_await change_session_at_times();
        if (!goes_on) {
            break;
        }
        const auto draw = below(100);
        if (draw < write_share) {
            goes_on = co_await write_once();
        } else if (draw < write_share + read_share) {
            goes_on = co_await read_once();
        } else {
            goes_on = co_await run_transaction();
        }
        const auto pause = static_cast<base::clock::rep>(below(longest_pause_ms));
        co_await http::sleep_for(base::clock::duration{pause});
    }
}

asio::awaitable<bool> soak_client::write_once() {
    const auto write = next_write();
    auto text = any_verb("STORE") + " " + write.key_ + " " + write.value_;
    const auto response = co_await ask(write.id_, std::move(text));
    record(write, outcome_of(response));
    co_return response.is_whole_;
}

asio::awaitable<bool> soak_client::read_once() {
    const auto key = any_key();
    const auto id = next_id();
    const auto began_at = base::clock::now();
    auto text = any_verb("FETCH") + " " + key;
    const auto response = co_await ask(id, std::move(text));
    if (response.is_done()) {
        check_row(id, key, response.row_, began_at);
    }
    co_return response.is_whole_;
}

asio::awaitable<bool> soak_client::run_transaction() {
    std::string begin{"BEGIN"};
    const auto began_at = base::clock::now();
    const auto begun = co_await ask(next_id(), std::move(begin));
    if (!begun.is_done()) {
        co_return begun.is_whole_;
    }
    const auto key = any_key();
    const auto id = next_id();
    auto text = any_verb("FETCH") + " " + key;
    const auto seen = co_await ask(id, std::move(text));
    bool goes_on = seen.is_whole_;
    if (seen.is_done()) {
        check_row(id, key, seen.row_, began_at);
        goes_on = co_await change_session_at_times();
    }
    const auto write = next_write();
    reply stored;
    if (goes_on) {
        auto store = any_verb("STORE") + " " + write.key_ + " " + write.value_;
        stored = co_await ask(write.id_, std::move(store));
    }
    goes_on = stored.is_whole_;
    if (stored.is_done()) {
        goes_on = co_await change_session_at_times();
    }
    // Without its commit nothing of the transaction may be kept.
    if (!goes_on) {
        record(write, write_outcome::refused);
        co_return false;
    }
    const bool commits = stored.error_.empty() && below(100) >= rollback_share;
    std::string ending{commits ? "COMMIT" : "ROLLBACK"};
    const auto ended = co_await ask(next_id(), std::move(ending));
    record(write, commits ? outcome_of(ended) : write_outcome::refused);
    co_return ended.is_whole_;
}

asio::awaitable<soak_client::reply> soak_client::ask(std::string id, std::string text) {
    auto& sent = history_.sent_[id];
    sent.text_ = text;
    sent.values_ = values_;
    sent.key_ = key_;
    sent.daemon_ = daemon_;
    sent.sent_at_ = base::clock::now();
    const auto sent_at = sent.sent_at_;
    if (text.starts_with(execute)) {
        const auto found =
            prepared_.find(text.substr(execute.size(), text.find(' ', execute.size()) - execute.size()));
        sent.prepared_ = found == prepared_.end() ? std::string{} : found->second;
    }
    reply response;
    auto line = "QUERY " + id + " " + text + "\r\n";
    socket_->expires_after(response_timeout);
    const bool is_sent = co_await socket_->write(std::move(line));
    while (is_sent) {
        const auto next = co_await socket_->read_line(max_line_bytes);
        if (!next) {
            break;
        }
        if (next->starts_with("ROW ")) {
            response.row_ = next->substr(4);
        } else if (next->starts_with("ERROR ")) {
            response.error_ = next->substr(6);
        } else if (next->starts_with("READY ")) {
            response.is_whole_ = true;
            break;
        }
    }
    socket_->expires_never();
    history_.sent_[id].error_ = response.error_;
    if (response.error_.starts_with(unknown_key)) {
        record_key_refusal(sent_at);
    }
    co_return response;
}

void soak_client::record_key_refusal(base::clock::time_point sent_at) {
    history_.key_refusals_.push_back({key_, daemon_, sent_at, base::clock::now()});
}

soak_client::pending_write soak_client::next_write() {
    pending_write write;
    write.id_ = next_id();
    write.key_ = any_key();
    write.value_ = "v" + write.id_ + any_of(value_ends);
    return write;
}

std::string soak_client::any_verb(const std::string& effect) {
    std::vector<std::string> verbs{effect};
    for (const auto& [name, prepared] : prepared_) {
        if (prepared.starts_with(effect + " ")) {
            verbs.push_back(std::string{execute} + name);
        }
    }
    return verbs.at(below(verbs.size()));
}

void soak_client::record(const pending_write& write, write_outcome outcome) {
    history_.writes_.push_back({route_.service_, write.id_, write.key_, write.value_,
                                session_ * plan_.clients_ + number_, outcome, base::clock::now()});
}

void soak_client::check_row(const std::string& id, const std::string& key, const std::string& row,
                            base::clock::time_point began_at) {
    // A row is the database, the key, the value, which may have blanks, and the session's tag.
    const auto key_begin = row.find(' ') + 1;
    const auto value_begin = key_begin + key.size() + 1;
    const auto value_end = row.rfind(' ');
    const bool has_value = value_end != std::string::npos && value_end > value_begin;
    if (!has_value || row.compare(key_begin, key.size() + 1, key + " ") != 0 ||
        row.substr(value_end + 1) != tag()) {
        history_.mixed_answers_.push_back("read " + id + " of " + key + " by " + tag() +
                                          " was answered: " + row);
        return;
    }
    auto value = row.substr(value_begin, value_end - value_begin);
    history_.reads_.push_back({route_.service_, id, key, std::move(value),
                               session_ * plan_.clients_ + number_, began_at, route_.staleness_,
                               route_.sees_own_writes_});
}

write_outcome soak_client::outcome_of(const reply& response) {
    if (!response.is_whole_) {
        return write_outcome::unknown;
    }
    if (response.error_.empty()) {
        return write_outcome::acknowledged;
    }
    const auto code = response.error_.substr(0, response.error_.find(' '));
    const bool is_promise = std::find(promises.begin(), promises.end(), code) != promises.end();
    return is_promise ? write_outcome::refused : write_outcome::unknown;
}

std::string soak_client::next_id() {
    return std::to_string(number_) + "." + std::to_string(++last_id_);
}

std::string soak_client::any_key() {
    return "k" + std::to_string(below(key_count));
}

std::string soak_client::tag() const {
    return "c" + std::to_string(number_) + "." + std::to_string(session_);
}

} // namespace soak
