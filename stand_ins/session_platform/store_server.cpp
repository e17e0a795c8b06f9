#include <stand_ins/session_platform/store_server.hpp>

#include <adapter/store_messages.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace stand_ins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr unsigned status_condition_failed = 412;
constexpr unsigned status_unavailable = 503;
constexpr std::size_t most_connections = 200;
// Longer than any test takes.
constexpr base::clock::duration swallowed_call_duration{600'000};
// Longer than callers wait for an answer.
constexpr base::clock::duration lost_response_delay{3'000};

struct stored_item {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t lease_ = 0;
};

struct granted_lease {
    base::clock::duration length_{0};
    base::clock::time_point end_{};
};

struct stored_event {
    std::string key_;
    std::uint64_t revision_ = 0;
    std::optional<std::string> value_;
};

constexpr base::clock::duration kept_copies_duration{15'000};

constexpr std::string_view keep_path = "/kv-keep/";

http::response answer(unsigned status, const json::object& body) {
    return http::json_response(status, json::serialize(body));
}

std::string parameter(const boost::urls::url_view& target, const char* name) {
    const auto found = target.params().find(name);
    return found == target.params().end() ? std::string{} : std::string{(*found).value};
}

/// What a copy of the store contains.
struct store_contents {
    std::map<std::string, stored_item> items_;
    std::vector<stored_event> history_;
    std::uint64_t revision_ = 10;
    std::uint64_t last_lease_ = 0;
    std::map<std::uint64_t, granted_lease> leases_;
    std::uint64_t forgotten_revision_ = 0;
};

bool is_written_by_others(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

struct store_server::state : store_contents {
    std::uint64_t calls_ = 0;
    std::uint64_t era_ = 0;
    std::deque<std::pair<base::clock::time_point, store_contents>> copies_;
    std::vector<std::uint64_t> promotion_tokens_;
    bool is_refusing_ = false;
    bool is_silent_ = false;
    std::uint64_t swallowed_watches_ = 0;
    bool has_ending_leases_ = false;
    bool is_losing_answers_ = false;
    promotion on_promotion_;
    http::wait_signal changed_;

    void put(const std::string& key, std::string value, std::uint64_t lease = 0) {
        items_[key] = {value, revision_, lease};
        history_.push_back({key, revision_, std::move(value)});
    }

    void remove(const std::string& key) {
        if (items_.erase(key) > 0) {
            history_.push_back({key, revision_, std::nullopt});
        }
    }

    /// Removes the keys of leases that have ended.
    void end_leases(base::clock::time_point now) {
        std::vector<std::string> ended;
        for (const auto& [key, one] : items_) {
            const auto lease = leases_.find(one.lease_);
            if (lease != leases_.end() && lease->second.end_ <= now) {
                ended.push_back(key);
            }
        }
        for (const auto& key : ended) {
            ++revision_;
            remove(key);
        }
        if (!ended.empty()) {
            changed_.notify_all();
        }
    }

    http::response grant(const json::object& body) {
        const base::clock::duration length{body.at("ttl-ms").to_number<std::int64_t>()};
        leases_[++last_lease_] = {length, base::clock::now() + length};
        return answer(status_ok, {{"lease", last_lease_}, {"ttl-ms", length.count()}});
    }

    http::response keep(std::uint64_t lease) {
        const auto found = leases_.find(lease);
        const auto now = base::clock::now();
        if (found == leases_.end() || (has_ending_leases_ && found->second.end_ <= now)) {
            return answer(status_not_found, {});
        }
        found->second.end_ = now + found->second.length_;
        return answer(status_ok, {{"ttl-ms", found->second.length_.count()}});
    }

    [[nodiscard]] json::object item(const std::string& key) const {
        const auto& found = items_.at(key);
        return {{"key", key},
                {"value", adapter::encode_base64(found.value_)},
                {"revision", found.revision_},
                {"created", found.revision_},
                {"lease", 0},
                {"at", revision_}};
    }

    [[nodiscard]] http::response get(const std::string& key) const {
        return items_.contains(key) ? answer(status_ok, item(key))
                                    : answer(status_not_found, {{"at", revision_}});
    }

    [[nodiscard]] http::response list(const std::string& prefix, const std::string& after) const {
        json::array items;
        for (const auto& [key, value] : items_) {
            if (key.starts_with(prefix) && key > after) {
                items.push_back(item(key));
            }
        }
        return answer(status_ok, {{"items", std::move(items)}, {"has-more", false}, {"at", revision_}});
    }

    [[nodiscard]] json::array events_after(const std::string& prefix, std::uint64_t after) const {
        json::array events;
        for (const auto& one : history_) {
            if (!one.key_.starts_with(prefix) || one.revision_ <= after) {
                continue;
            }
            json::object event{{"key", one.key_}, {"revision", one.revision_}};
            if (one.value_) {
                event["value"] = adapter::encode_base64(*one.value_);
            } else {
                event["deleted"] = true;
            }
            events.push_back(std::move(event));
        }
        return events;
    }

    asio::awaitable<http::response> watch(std::string prefix, std::uint64_t after, std::int64_t wait_ms) {
        const auto end = base::clock::now() + base::clock::duration{wait_ms};
        const auto era = era_;
        const auto has_history = [this, after, era] {
            return era_ == era && after >= forgotten_revision_ && (era == 0 || after <= revision_);
        };
        while (events_after(prefix, after).empty() && base::clock::now() < end && has_history()) {
            co_await changed_.wait_for(end - base::clock::now());
        }
        if (!has_history()) {
            co_return answer(status_gone, {});
        }
        co_return answer(status_ok, {{"events", events_after(prefix, after)}, {"at", revision_}});
    }

    http::response change(const json::object& body) {
        for (const auto& one : body.at("expected").as_array()) {
            const auto& expected = one.as_object();
            const auto found = items_.find(std::string{expected.at("key").as_string()});
            const auto present = found == items_.end() ? 0 : found->second.revision_;
            if (present != expected.at("revision").to_number<std::uint64_t>()) {
                return answer(status_condition_failed, {{"items", json::array{}}});
            }
        }
        ++revision_;
        for (const auto& one : body.at("puts").as_array()) {
            const auto& entry = one.as_object();
            const std::string value{entry.at("value").as_string()};
            put(std::string{entry.at("key").as_string()}, adapter::decode_base64(value).value_or(""),
                entry.at("lease").to_number<std::uint64_t>());
        }
        for (const auto& key : body.at("deletes").as_array()) {
            remove(std::string{key.as_string()});
        }
        changed_.notify_all();
        return answer(status_ok, {{"revision", revision_}});
    }

    void take_copy(base::clock::time_point now) {
        copies_.emplace_back(now, *this);
        while (copies_.front().first + kept_copies_duration < now) {
            copies_.pop_front();
        }
    }

    void return_to_copy(base::clock::time_point now, base::clock::duration age) {
        while (copies_.size() > 1 && copies_.back().first + age > now) {
            copies_.pop_back();
        }
        const auto latest = items_;
        const auto& [copied_at, copy] = copies_.back();
        static_cast<store_contents&>(*this) = copy;
        for (auto& [number, lease] : leases_) {
            lease.end_ += now - copied_at;
        }
        ++era_;
        for (const auto& [key, item] : latest) {
            if (is_written_by_others(key)) {
                ++revision_;
                put(key, item.value_);
            }
        }
        changed_.notify_all();
    }

    /// Adds the header that states the store's history.
    [[nodiscard]] http::response with_era(const http::response& response) const {
        return era_ == 0 ? response : response.with([this](auto& fields) {
            fields.headers_.push_back({"Store-Era", std::to_string(era_)});
        });
    }

    http::response promote(const json::object& body) {
        const auto status = on_promotion_(std::string{body.at("service").as_string()},
                                          std::string{body.at("id").as_string()});
        return answer(status, {});
    }
};

store_server::store_server(asio::any_io_executor executor, promotion on_promotion)
    : executor_{std::move(executor)}, state_{std::make_shared<state>()} {
    state_->on_promotion_ = std::move(on_promotion);
}

bool store_server::listen(const base::endpoint& local) {
    auto socket = http::listener::open(executor_, local);
    if (!socket) {
        return false;
    }
    std::make_shared<http::server<handler>>(executor_, std::move(*socket), handler{state_}, http::limits{},
                                            nullptr, most_connections)
        ->start();
    return true;
}

void store_server::put(const std::string& key, std::string value) {
    ++state_->revision_;
    state_->put(key, std::move(value));
    state_->changed_.notify_all();
}

void store_server::remove(const std::string& key) {
    ++state_->revision_;
    state_->remove(key);
    state_->changed_.notify_all();
}

std::string store_server::value_of(const std::string& key) const {
    const auto found = state_->items_.find(key);
    return found == state_->items_.end() ? std::string{} : found->second.value_;
}

void store_server::set_refusing(bool is_refusing) {
    state_->is_refusing_ = is_refusing;
}

void store_server::set_silent(bool is_silent) {
    state_->is_silent_ = is_silent;
}

std::uint64_t store_server::swallowed_watches() const {
    return state_->swallowed_watches_;
}

void store_server::set_ending_leases(bool is_ending) {
    state_->has_ending_leases_ = is_ending;
}

void store_server::set_losing_answers(bool is_losing) {
    state_->is_losing_answers_ = is_losing;
}

void store_server::forget_history() {
    state_->forgotten_revision_ = state_->revision_;
    state_->history_.clear();
    state_->changed_.notify_all();
}

std::uint64_t store_server::calls() const {
    return state_->calls_;
}

void store_server::state_era(std::uint64_t era) {
    state_->era_ = era;
}

std::uint64_t store_server::era() const {
    return state_->era_;
}

void store_server::take_copy() {
    state_->take_copy(base::clock::now());
}

void store_server::return_to_copy(base::clock::duration age) {
    state_->return_to_copy(base::clock::now(), age);
}

const std::vector<std::uint64_t>& store_server::promotion_tokens() const {
    return state_->promotion_tokens_;
}

asio::awaitable<http::response> store_server::handler::operator()(http::request message,
                                                                  std::size_t /*connection*/) const {
    const auto held = state_;
    const auto response = co_await respond(held, std::move(message));
    co_return held->with_era(response);
}

asio::awaitable<http::response> store_server::handler::respond(std::shared_ptr<state> held,
                                                               http::request message) {
    ++held->calls_;
    if (held->has_ending_leases_) {
        held->end_leases(base::clock::now());
    }
    if (held->is_refusing_) {
        co_return answer(status_unavailable, {});
    }
    const auto target = boost::urls::parse_origin_form(message->target_);
    if (!target) {
        co_return answer(status_not_found, {});
    }
    const std::string path{target->encoded_path()};
    if (held->is_silent_) {
        held->swallowed_watches_ += path == "/kv-watch" ? 1 : 0;
        co_await http::sleep_for(swallowed_call_duration);
        co_return answer(status_unavailable, {});
    }
    if (path == "/kv-key") {
        co_return held->get(parameter(*target, "key"));
    }
    if (path == "/kv-range") {
        co_return held->list(parameter(*target, "prefix"), parameter(*target, "after"));
    }
    if (path == "/kv-watch") {
        auto prefix = parameter(*target, "prefix");
        const auto after = std::stoull(parameter(*target, "after"));
        const auto wait = std::stoll(parameter(*target, "wait-ms"));
        co_return co_await held->watch(std::move(prefix), after, wait);
    }
    if (path == "/kv-txn") {
        auto changed = held->change(json::parse(message->body_).as_object());
        if (held->is_losing_answers_) {
            co_await http::sleep_for(lost_response_delay);
        }
        co_return changed;
    }
    if (path == "/kv-lease") {
        co_return held->grant(json::parse(message->body_).as_object());
    }
    if (path.starts_with(keep_path)) {
        co_return held->keep(std::stoull(path.substr(keep_path.size())));
    }
    if (path == "/promote") {
        const auto token = http::find_header(message->headers_, "Fencing-Token");
        held->promotion_tokens_.push_back(token ? std::stoull(std::string{*token}) : 0);
        co_return held->promote(json::parse(message->body_).as_object());
    }
    co_return answer(status_not_found, {});
}

} // namespace stand_ins
