#include <stand_ins/session_platform/line_database.hpp>

#include <http/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_line_bytes = std::size_t{1024} * 1024;
constexpr base::clock::duration delay_check_interval{5};

std::string take_word(std::string& text) {
    const auto blank = text.find(' ');
    auto word = text.substr(0, blank);
    text = blank == std::string::npos ? std::string{} : text.substr(blank + 1);
    return word;
}

/// Removes the first field and returns it; nothing if it is empty or has characters of white space, which a
/// database may take for the end of the field.
std::optional<std::string> take_name(std::string& text) {
    auto name = take_word(text);
    const bool is_field =
        !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char one) { return one > ' '; });
    return is_field ? std::optional{std::move(name)} : std::nullopt;
}

bool is_transaction_bound(const std::string& text) {
    return text == "BEGIN" || text == "BEGIN FETCH" || text == "COMMIT" || text == "ROLLBACK";
}

} // namespace

line_database::line_database(asio::any_io_executor executor, std::string service, std::string id)
    : executor_{std::move(executor)}, service_{std::move(service)}, id_{std::move(id)} {}

bool line_database::listen(const base::endpoint& local) {
    auto opened = http::listener::open(executor_, local);
    if (!opened) {
        return false;
    }
    listener_ = std::make_shared<http::listener>(std::move(*opened));
    asio::co_spawn(executor_, accept(shared_from_this()), asio::detached);
    return true;
}

void line_database::crash() {
    listener_->close();
    for (const auto& one : sockets_) {
        if (const auto socket = one.lock()) {
            socket->close();
        }
    }
    sockets_.clear();
}

void line_database::set_primary(bool is_primary, std::uint64_t term) {
    is_primary_ = is_primary;
    term_ = term;
}

void line_database::follow(const line_database& leader, base::clock::time_point committed_until) {
    const auto first_different =
        std::mismatch(log_.begin(), log_.end(), leader.log_.begin(), leader.log_.end());
    rolled_back_.insert(rolled_back_.end(), first_different.first, log_.end());
    log_.erase(first_different.first, log_.end());
    for (auto next = first_different.second; next != leader.log_.end(); ++next) {
        if (next->committed_at_ > committed_until) {
            break;
        }
        log_.push_back(*next);
    }
    term_ = leader.term_;
    number_ = log_.empty() ? 1 : log_.back().number_;
}

asio::awaitable<void> line_database::accept(std::shared_ptr<line_database> self) {
    const auto held = self->listener_;
    while (held->is_open()) {
        auto accepted = co_await held->accept();
        if (!accepted) {
            co_return;
        }
        auto socket = std::make_shared<http::line_socket>(std::move(*accepted));
        self->sockets_.push_back(socket);
        asio::co_spawn(executor_, serve(self, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> line_database::serve(std::shared_ptr<line_database> self,
                                           std::shared_ptr<http::line_socket> socket) {
    session current;
    current.socket_ = socket;
    for (;;) {
        auto line = co_await socket->read_line(max_line_bytes);
        if (!line) {
            co_return;
        }
        const auto word = take_word(*line);
        const auto failed_begins = self->failed_begins_;
        std::string reply;
        if (word == "START") {
            reply = self->start(current, std::move(*line));
        } else if (word == "QUERY") {
            const auto id = take_word(*line);
            reply = self->answer(current, id, std::move(*line));
        }
        if (reply.empty()) {
            socket->close();
            co_return;
        }
        const auto received_at = base::clock::now();
        const auto more_delay =
            self->failed_begins_ > failed_begins ? self->begin_error_delay_ : base::clock::duration{0};
        while (base::clock::now() < received_at + self->answer_delay_ + more_delay) {
            co_await http::sleep_for(delay_check_interval);
        }
        const bool is_refused = word == "START" && reply.starts_with("ERROR ");
        const bool is_sent = co_await socket->write(std::move(reply));
        if (is_refused) {
            socket->close();
        }
        if (!is_sent || is_refused) {
            co_return;
        }
    }
}

std::string line_database::position_text() const {
    return std::to_string(term_) + "." + std::to_string(number_);
}

std::string line_database::ready(const session& current) const {
    return std::string{"READY "} + current.state_ + " " + position_text() + "\r\n";
}

std::string line_database::start(session& current, std::string fields) {
    // A connection belongs to one tenant until its end.
    if (std::exchange(current.is_started_, true)) {
        return {};
    }
    const auto service = take_word(fields);
    current.tenant_ = take_word(fields);
    started_.push_back(current.tenant_);
    if (!start_error_.empty()) {
        return start_error_ + "\r\n";
    }
    const bool is_wrong = service != service_ || (!fields.empty() && fields != id_);
    return is_wrong ? "ERROR WRONGNODE " + id_ + "\r\n" : ready(current);
}

std::string line_database::answer(session& current, const std::string& id, std::string text) {
    auto rest = text;
    auto verb = take_word(rest);
    if (verb == "AFTER") {
        auto needed = take_word(rest);
        const auto dot = needed.find('.');
        const auto term = std::stoull(needed.substr(0, dot));
        const auto number = std::stoull(needed.substr(dot + 1));
        if (term > term_ || (term == term_ && number > number_)) {
            return "ERROR LAGGING " + id_ + "\r\n" + ready(current);
        }
        text = rest;
        verb = take_word(rest);
    }
    if (verb == "SET" || verb == "PREPARE" || verb == "DEALLOC" || text == "RESET") {
        return change_session(current, id, text);
    }
    if (text == "STATUS" && !status_error_.empty()) {
        return status_error_ + "\r\n" + ready(current);
    }
    if (text == "STATUS" || verb == "STEPDOWN") {
        is_primary_ = is_primary_ && verb == "STATUS";
        return std::string{"ROW "} + (is_primary_ ? "primary " : "replica ") + std::to_string(term_) + " " +
               position_text() + " 0 0 0 1\r\nCOMPLETE -\r\n" + ready(current);
    }
    return run(current, id, text);
}

std::string line_database::refuse(const session& current, const std::string& id, const std::string& text,
                                  const std::string& code) {
    refused_.push_back({id, text, code});
    return "ERROR " + code + " " + id_ + "\r\n" + ready(current);
}

std::string line_database::change_session(session& current, const std::string& id, const std::string& text) {
    auto rest = text;
    const auto verb = take_word(rest);
    const auto name = verb == "RESET" ? std::optional{std::string{}} : take_name(rest);
    if (!name) {
        return refuse(current, id, text, "MALFORMED");
    }
    if (verb == "SET") {
        current.values_[*name] = rest;
    } else if (verb == "PREPARE") {
        auto shape = rest;
        const auto effect = take_word(shape);
        if ((effect != "FETCH" && effect != "STORE") || shape.empty()) {
            return refuse(current, id, text, "MALFORMED");
        }
        current.prepared_[*name] = rest;
    } else if (verb == "DEALLOC") {
        if (current.prepared_.erase(*name) == 0) {
            return refuse(current, id, text, "NOSTMT");
        }
    } else {
        current.values_.clear();
        current.prepared_.clear();
    }
    return "COMPLETE -\r\n" + ready(current);
}

std::string line_database::run(session& current, const std::string& id, const std::string& text) {
    auto rest = text;
    const auto verb = take_word(rest);
    std::string prepared;
    if (verb == "BEGIN" && !begin_error_.empty()) {
        ++failed_begins_;
        return begin_error_ + "\r\n" + ready(current);
    }
    if (verb == "EXECUTE") {
        if (is_forgetting_prepared_) {
            current.prepared_.clear();
        }
        const auto name = take_name(rest);
        if (!name) {
            return refuse(current, id, text, "MALFORMED");
        }
        const auto found = current.prepared_.find(*name);
        if (found == current.prepared_.end()) {
            return refuse(current, id, text, "NOSTMT");
        }
        prepared = found->second;
    }
    const bool is_write = verb == "STORE" || prepared.starts_with("STORE ");
    const bool is_read = verb == "FETCH" || prepared.starts_with("FETCH ");
    // The item of a plain read is the last field, which extends to the end of the line.
    const auto key = verb == "FETCH" ? std::exchange(rest, {}) : take_word(rest);
    const bool is_complete =
        is_write ? !key.empty() && !rest.empty() : (is_read ? !key.empty() : is_transaction_bound(text));
    if (!is_complete) {
        return refuse(current, id, text, "MALFORMED");
    }
    if (!is_primary_ && (is_write || text == "BEGIN")) {
        return "ERROR READONLY " + id_ + "\r\n" + ready(current);
    }
    if (verb == "COMMIT" && !is_primary_ && !current.pending_.empty()) {
        current.pending_.clear();
        current.state_ = 'I';
        return "ERROR READONLY " + id_ + "\r\n" + ready(current);
    }
    seen_.push_back({id, text, current.values_, prepared, current.tenant_, base::clock::now()});
    if (verb == "BEGIN") {
        current.state_ = 'T';
    } else if (verb == "COMMIT" || verb == "ROLLBACK") {
        current.state_ = 'I';
    }
    const bool is_commit = verb == "COMMIT" && !current.pending_.empty();
    if (verb == "ROLLBACK") {
        current.pending_.clear();
    } else if (is_write) {
        current.pending_.push_back({0, 0, id, key, rest, {}});
    }
    if (is_commit || (is_write && current.state_ == 'I')) {
        commit(current);
        if (is_losing_) {
            return {};
        }
    }
    const auto rows = is_read ? "ROW " + row(current, key) + "\r\n" : std::string{};
    return rows + "COMPLETE sig." + id_ + "." + std::to_string(seen_.size()) + "\r\n" + ready(current);
}

void line_database::commit(session& current) {
    for (auto& write : current.pending_) {
        ++number_;
        write.term_ = term_;
        write.number_ = number_;
        write.committed_at_ = base::clock::now();
        log_.push_back(std::move(write));
    }
    current.pending_.clear();
}

std::string line_database::row(const session& current, const std::string& key) const {
    const auto newest =
        std::find_if(log_.rbegin(), log_.rend(), [&key](const auto& one) { return one.key_ == key; });
    const auto tag = current.values_.find("tag");
    return id_ + " " + key + " " + (newest == log_.rend() ? "-" : newest->value_) + " " +
           (tag == current.values_.end() ? "-" : tag->second);
}

} // namespace stand_ins
