#include <utilities/sassafras_soak/soak_client.hpp>

#include <http/sleep.hpp>

#include <algorithm>
#include <array>
#include <sstream>
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
constexpr std::uint64_t most_operations_in_session = 40;
// Shares of the operations, in a hundred.
constexpr std::uint64_t write_share = 35;
constexpr std::uint64_t read_share = 45;
constexpr std::uint64_t rollback_share = 20;

// Answers that promise that nothing of the attempt is kept.
constexpr std::array<std::string_view, 6> promises{"THROTTLED", "ABORTED",   "LAGGING",
                                                   "READONLY",  "WRONGNODE", "CONNLIMIT"};

} // namespace

soak_client::soak_client(const client_plan& plan, std::uint32_t number, client_history& history)
    : plan_{plan}, number_{number}, history_{history}, random_{plan.seed_ * 1'000 + number} {}

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
    route_ = plan_.routes_.at(below(plan_.routes_.size()));
    const auto port = plan_.ports_.at(below(plan_.ports_.size()));
    socket_ = std::make_unique<http::line_socket>(co_await asio::this_coro::executor);
    base::endpoint daemon{"127.0.0.1", port};
    const bool is_connected = co_await socket_->connect(std::move(daemon), connect_limit, response_timeout);
    if (!is_connected) {
        co_return false;
    }
    socket_->expires_after(response_timeout);
    auto opening = "START " + route_.database_ + " soak\r\n";
    const bool is_sent = co_await socket_->write(std::move(opening));
    if (!is_sent) {
        co_return false;
    }
    const auto greeting = co_await socket_->read_line(max_line_bytes);
    if (!greeting || !greeting->starts_with("READY I")) {
        co_return false;
    }
    auto text = "SET tag " + tag();
    const auto response = co_await ask(next_id(), std::move(text));
    co_return response.is_whole_&& response.error_.empty();
}

asio::awaitable<void> soak_client::run_session() {
    auto left = 1 + below(most_operations_in_session);
    bool goes_on = true;
    while (goes_on && left > 0 && !is_stopping_) {
        --left;
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
    auto text = "STORE " + write.key_ + " " + write.value_;
    const auto response = co_await ask(write.id_, std::move(text));
    record(write, outcome_of(response));
    co_return response.is_whole_;
}

asio::awaitable<bool> soak_client::read_once() {
    const auto key = any_key();
    const auto id = next_id();
    const auto began_at = base::clock::now();
    auto text = "FETCH " + key;
    const auto response = co_await ask(id, std::move(text));
    if (response.is_whole_ && response.error_.empty()) {
        check_row(id, key, response.row_, began_at);
    }
    co_return response.is_whole_;
}

asio::awaitable<bool> soak_client::run_transaction() {
    std::string begin{"BEGIN"};
    const auto began_at = base::clock::now();
    const auto begun = co_await ask(next_id(), std::move(begin));
    if (!begun.is_whole_ || !begun.error_.empty()) {
        co_return begun.is_whole_;
    }
    const auto key = any_key();
    const auto id = next_id();
    auto text = "FETCH " + key;
    const auto seen = co_await ask(id, std::move(text));
    if (seen.is_whole_ && seen.error_.empty()) {
        check_row(id, key, seen.row_, began_at);
    }
    const auto write = next_write();
    reply stored;
    if (seen.is_whole_) {
        auto store = "STORE " + write.key_ + " " + write.value_;
        stored = co_await ask(write.id_, std::move(store));
    }
    // Without its commit nothing of the transaction may be kept.
    if (!stored.is_whole_) {
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
    co_return response;
}

soak_client::pending_write soak_client::next_write() {
    pending_write write;
    write.id_ = next_id();
    write.key_ = any_key();
    write.value_ = "v" + write.id_;
    return write;
}

void soak_client::record(const pending_write& write, write_outcome outcome) {
    history_.writes_.push_back({route_.service_, write.id_, write.key_, write.value_,
                                session_ * plan_.clients_ + number_, outcome, base::clock::now()});
}

void soak_client::check_row(const std::string& id, const std::string& key, const std::string& row,
                            base::clock::time_point began_at) {
    std::istringstream words{row};
    std::string database;
    std::string seen_key;
    std::string value;
    std::string seen_tag;
    words >> database >> seen_key >> value >> seen_tag;
    if (seen_key != key || seen_tag != tag()) {
        history_.mixed_answers_.push_back("read " + id + " of " + key + " by " + tag() +
                                          " was answered: " + row);
        return;
    }
    history_.reads_.push_back({route_.service_, id, key, value, session_ * plan_.clients_ + number_, began_at,
                               route_.staleness_, route_.sees_own_writes_});
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
