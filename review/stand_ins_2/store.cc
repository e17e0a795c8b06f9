#include "store.hh"

#include <adapter/store_messages.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <algorithm>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using base::clock;

namespace {

constexpr std::size_t most_connections = 400;
constexpr clock::duration copy_interval{200};
constexpr clock::duration copies_kept{15'000};
constexpr clock::duration history_kept{20'000};
constexpr std::size_t page_items = 500;

std::string parameter(const boost::urls::url_view& target, const char* name) {
    const auto found = target.params().find(name);
    return found == target.params().end() ? std::string{} : std::string{(*found).value};
}

} // namespace

store::store(asio::any_io_executor executor, base::endpoint address)
    : executor_{std::move(executor)}, address_{std::move(address)} {}

bool store::listen() {
    auto socket = http::listener::open(executor_, address_);
    if (!socket) {
        return false;
    }
    http::limits limits;
    limits.body_bytes_ = 8ULL * 1024 * 1024;
    server_ = std::make_shared<http::server<handler>>(
        executor_, std::move(*socket), handler{shared_from_this()}, limits, nullptr, most_connections);
    server_->start();
    return true;
}

asio::awaitable<void> store::run() {
    auto next_copy = clock::now();
    for (;;) {
        const auto now = clock::now();
        if (!is_away()) {
            end_leases(now);
            if (now >= next_copy) {
                next_copy = now + copy_interval;
                copies_.emplace_back(now, now_);
                while (copies_.front().first + copies_kept < now) {
                    copies_.pop_front();
                }
            }
        }
        co_await http::sleep_for(clock::duration{20});
    }
}

bool store::put(const std::string& key, std::string value) {
    if (is_away()) {
        return false;
    }
    ++now_.revision_;
    write(key, std::move(value), 0);
    changed_.notify_all();
    return true;
}

bool store::remove(const std::string& key) {
    if (is_away()) {
        return false;
    }
    if (now_.items_.contains(key)) {
        ++now_.revision_;
        erase(key);
        changed_.notify_all();
    }
    return true;
}

std::string store::value_of(const std::string& key) const {
    const auto found = now_.items_.find(key);
    return found == now_.items_.end() ? std::string{} : found->second.value_;
}

std::uint64_t store::revision_of(const std::string& key) const {
    const auto found = now_.items_.find(key);
    return found == now_.items_.end() ? 0 : found->second.revision_;
}

std::vector<std::string> store::keys(const std::string& prefix) const {
    std::vector<std::string> found;
    for (const auto& [key, one] : now_.items_) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

asio::awaitable<void> store::drill(clock::duration age, clock::duration away) {
    const auto self = shared_from_this();
    const auto wanted = clock::now() - age;
    auto chosen = copies_.front();
    for (const auto& one : copies_) {
        if (one.first <= wanted) {
            chosen = one;
        }
    }
    std::exchange(server_, nullptr)->close();
    changed_.notify_all();
    co_await http::sleep_for(away);
    now_ = chosen.second;
    // Leases pause while the store is away; those granted since the copy are gone.
    for (auto& [number, one] : now_.leases_) {
        one.end_ = clock::now() + (one.end_ - chosen.first);
    }
    copies_.clear();
    copies_.emplace_back(clock::now(), now_);
    ++era_;
    while (!listen()) {
        co_await http::sleep_for(clock::duration{10});
    }
    if (on_return_) {
        on_return_();
    }
}

http::response store::answer(unsigned status, const std::string& body) const {
    http::response_fields fields;
    fields.status_ = status;
    fields.headers_ = {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}};
    fields.body_ = body;
    return http::response{std::move(fields)};
}

void store::write(const std::string& key, std::string value, std::uint64_t lease) {
    const auto found = now_.items_.find(key);
    const auto created = found == now_.items_.end() ? now_.revision_ : found->second.created_;
    now_.items_[key] = {value, now_.revision_, created, lease};
    now_.history_.push_back({key, now_.revision_, created, std::move(value), clock::now()});
}

void store::erase(const std::string& key) {
    if (now_.items_.erase(key) > 0) {
        now_.history_.push_back({key, now_.revision_, 0, std::nullopt, clock::now()});
    }
}

void store::end_leases(clock::time_point now) {
    std::vector<std::string> ended;
    for (const auto& [key, one] : now_.items_) {
        if (one.lease_ == 0) {
            continue;
        }
        const auto found = now_.leases_.find(one.lease_);
        if (found == now_.leases_.end() || found->second.end_ <= now) {
            ended.push_back(key);
        }
    }
    for (const auto& key : ended) {
        ++now_.revision_;
        erase(key);
    }
    std::erase_if(now_.leases_, [now](const auto& one) { return one.second.end_ <= now; });
    if (!ended.empty()) {
        changed_.notify_all();
    }
    const auto old = std::find_if(now_.history_.begin(), now_.history_.end(),
                                  [now](const auto& one) { return one.at_ + history_kept >= now; });
    if (old != now_.history_.begin()) {
        now_.history_start_ = std::prev(old)->revision_;
        now_.history_.erase(now_.history_.begin(), old);
    }
}

std::string store::item_text(const std::string& key, const item& one) const {
    return json::serialize(json::object{{"key", key},
                                        {"value", adapter::encode_base64(one.value_)},
                                        {"revision", one.revision_},
                                        {"created", one.created_},
                                        {"lease", one.lease_}});
}

http::response store::list(const std::string& prefix, const std::string& after) const {
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    for (const auto& [key, one] : now_.items_) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (count == page_items) {
            has_more = true;
            break;
        }
        items.append(count == 0 ? "" : ",").append(item_text(key, one));
        ++count;
    }
    return answer(200, "{\"items\":[" + items + "],\"has-more\":" + (has_more ? "true" : "false") +
                           ",\"at\":" + std::to_string(now_.revision_) + "}");
}

asio::awaitable<http::response> store::watch(std::string prefix, std::uint64_t after, std::int64_t wait_ms) {
    const auto self = shared_from_this();
    const auto era = era_;
    const auto end = clock::now() + clock::duration{std::min<std::int64_t>(wait_ms, 30'000)};
    for (;;) {
        if (is_away() || era != era_) {
            co_return answer(503, "{}");
        }
        if (after > now_.revision_ || after < now_.history_start_) {
            co_return answer(410, "{}");
        }
        std::string events;
        for (const auto& one : now_.history_) {
            if (one.revision_ <= after || !one.key_.starts_with(prefix)) {
                continue;
            }
            json::object event{{"key", one.key_}, {"revision", one.revision_}};
            if (one.value_) {
                event["value"] = adapter::encode_base64(*one.value_);
                event["created"] = one.created_;
                event["lease"] = 0;
            } else {
                event["deleted"] = true;
            }
            events.append(events.empty() ? "" : ",").append(json::serialize(event));
        }
        const auto now = clock::now();
        if (!events.empty() || now >= end) {
            co_return answer(200,
                             "{\"events\":[" + events + "],\"at\":" + std::to_string(now_.revision_) + "}");
        }
        co_await changed_.wait_for(end - now);
    }
}

http::response store::change(const std::string& body) {
    const auto request = json::parse(body).as_object();
    const auto part = [&request](const char* name) {
        const auto* found = request.if_contains(name);
        return found == nullptr ? json::array{} : found->as_array();
    };
    std::string current;
    bool holds = true;
    for (const auto& one : part("expected")) {
        const std::string key{one.as_object().at("key").as_string()};
        const auto found = now_.items_.find(key);
        const auto revision = found == now_.items_.end() ? 0 : found->second.revision_;
        holds = holds && revision == one.as_object().at("revision").to_number<std::uint64_t>();
        if (found != now_.items_.end()) {
            current.append(current.empty() ? "" : ",").append(item_text(key, found->second));
        }
    }
    if (!holds) {
        return answer(412, "{\"items\":[" + current + "],\"at\":" + std::to_string(now_.revision_) + "}");
    }
    const auto puts = part("puts");
    for (const auto& one : puts) {
        const auto lease = one.as_object().at("lease").to_number<std::uint64_t>();
        if (lease != 0 && !now_.leases_.contains(lease)) {
            return answer(404, "{}");
        }
    }
    ++now_.revision_;
    for (const auto& one : puts) {
        const auto& entry = one.as_object();
        const std::string value{entry.at("value").as_string()};
        write(std::string{entry.at("key").as_string()}, adapter::decode_base64(value).value_or(""),
              entry.at("lease").to_number<std::uint64_t>());
    }
    for (const auto& key : part("deletes")) {
        erase(std::string{key.as_string()});
    }
    changed_.notify_all();
    return answer(200, "{\"revision\":" + std::to_string(now_.revision_) + "}");
}

asio::awaitable<http::response> store::handler::operator()(http::request message,
                                                           std::size_t /*connection*/) const {
    const auto held = store_;
    const auto target = boost::urls::parse_origin_form(message->target_);
    if (!target || held->is_away()) {
        co_return held->answer(503, "{}");
    }
    held->end_leases(clock::now());
    const std::string path{target->encoded_path()};
    auto& image = held->now_;
    if (path == "/kv-key") {
        const auto key = parameter(*target, "key");
        const auto found = image.items_.find(key);
        if (found == image.items_.end()) {
            co_return held->answer(404, "{\"at\":" + std::to_string(image.revision_) + "}");
        }
        auto text = held->item_text(key, found->second);
        text.pop_back();
        co_return held->answer(200, text + ",\"at\":" + std::to_string(image.revision_) + "}");
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
        co_return held->change(message->body_);
    }
    if (path == "/kv-lease") {
        const auto length = std::max<std::int64_t>(
            json::parse(message->body_).as_object().at("ttl-ms").to_number<std::int64_t>(), 1'000);
        const auto number = ++image.last_lease_;
        image.leases_[number] = {clock::duration{length}, clock::now() + clock::duration{length}};
        co_return held->answer(200, "{\"lease\":" + std::to_string(number) +
                                        ",\"ttl-ms\":" + std::to_string(length) + "}");
    }
    constexpr std::string_view keep{"/kv-keep/"};
    constexpr std::string_view end{"/kv-lease-end/"};
    if (path.starts_with(keep)) {
        const auto found = image.leases_.find(std::stoull(path.substr(keep.size())));
        if (found == image.leases_.end()) {
            co_return held->answer(404, "{}");
        }
        found->second.end_ = clock::now() + found->second.length_;
        co_return held->answer(200, "{\"ttl-ms\":" + std::to_string(found->second.length_.count()) + "}");
    }
    if (path.starts_with(end)) {
        image.leases_.erase(std::stoull(path.substr(end.size())));
        held->end_leases(clock::now());
        co_return held->answer(200, "{}");
    }
    co_return held->answer(404, "{}");
}

} // namespace review
