#include <stand_ins/platform/platform_server.hpp>

#include <http/sleep.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace stand_ins::platform {

namespace asio = boost::asio;

namespace {

constexpr std::string_view control_prefix = "/control/";
constexpr std::size_t most_value_bytes = std::size_t{1024} * 1024;
constexpr base::clock::duration default_lease{10'000};
constexpr base::clock::duration longest_watch{60'000};
constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned too_large = 413;
constexpr unsigned too_many_requests = 429;

bool is_write(std::string_view path) {
    return path == "/v1/put_if" || path == "/v1/lease" || path == "/v1/renew";
}

bool is_read(std::string_view path) {
    return path == "/v1/get" || path == "/v1/watch" || path == "/v1/hosts";
}

http::response plain_error(unsigned status, const base::error& reason) {
    return http::response_fields{status, {{"Content-Type", "text/plain"}}, reason.to_string()};
}

http::response rate_limited(base::clock::duration retry_after) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    return http::response_fields{too_many_requests, {{"Retry-After", std::to_string(seconds)}}, {}};
}

// Counts a watch as waiting for its lifetime.
class waiting_watch {
public:
    explicit waiting_watch(std::size_t& waiting) : waiting_{waiting} { ++waiting_; }
    ~waiting_watch() { --waiting_; }
    waiting_watch(const waiting_watch&) = delete;
    waiting_watch& operator=(const waiting_watch&) = delete;
    waiting_watch(waiting_watch&&) = delete;
    waiting_watch& operator=(waiting_watch&&) = delete;

private:
    std::size_t& waiting_;
};

} // namespace

platform_server::platform_server(platform_settings settings)
    : hosts_{std::move(settings.hosts_)}, reads_{settings.reads_per_second_, base::clock::now()},
      writes_{settings.writes_per_second_, base::clock::now()} {
    hosts_.set_lag(settings.hosts_lag_);
}

asio::awaitable<http::response> platform_server::answer(http::request message) {
    const auto request = decode_request(message->body_);
    if (!request) {
        co_return plain_error(bad_request, request.last_reason());
    }
    if (message->target_.starts_with(control_prefix)) {
        co_return answer_control(std::string_view{message->target_}.substr(control_prefix.size()), *request);
    }
    ++counts_["arrived" + message->target_];
    co_await wait_out_outage();
    auto response = co_await answer_call(message->target_, *request);
    co_await wait_out_outage();
    co_return response;
}

asio::awaitable<void> platform_server::expire_leases() {
    for (;;) {
        const auto now = base::clock::now();
        if (store_.expire_leases(now)) {
            changed_.notify_all();
        }
        const auto next = store_.next_expiry();
        if (next) {
            co_await lease_granted_.wait_for(std::max(*next - now, base::clock::duration{1}));
        } else {
            co_await lease_granted_.wait();
        }
    }
}

http::response platform_server::answer_control(std::string_view path, const platform_request& request) {
    if (path == "counts") {
        auto counts = counts_;
        counts["waiting_watches"] = waiting_watches_;
        counts["keys"] = store_.keys();
        counts["leases"] = store_.leases();
        return http::json_response(ok, encode_counts(counts));
    }
    if (path == "hosts") {
        if (request.lag_) {
            hosts_.set_lag(*request.lag_);
        }
        if (request.hosts_) {
            hosts_.set(*request.hosts_, base::clock::now());
        }
        return http::json_response(ok, "{}");
    }
    if (path == "expire_leases") {
        if (store_.expire_all_leases()) {
            changed_.notify_all();
        }
        return http::json_response(ok, "{}");
    }
    if (!change_faults(path, request)) {
        return plain_error(not_found, {base::error_kind::not_found, "no control path " + std::string{path}});
    }
    changed_.notify_all();
    return http::json_response(ok, "{}");
}

bool platform_server::change_faults(std::string_view path, const platform_request& request) {
    if (path == "heal") {
        faults_ = {};
    } else if (path == "outage") {
        faults_.outage_ =
            request.mode_ == "silent" ? outage_kind::gives_no_answer : outage_kind::closes_connections;
        faults_.outage_end_ =
            request.milliseconds_ ? std::optional{base::clock::now() + *request.milliseconds_} : std::nullopt;
    } else if (path == "slow") {
        faults_.delay_ = request.milliseconds_.value_or(base::clock::duration{0});
    } else if (path == "lose_answers") {
        faults_.answers_to_lose_ = request.count_.value_or(std::numeric_limits<std::uint64_t>::max());
    } else {
        return false;
    }
    return true;
}

asio::awaitable<http::response> platform_server::answer_call(std::string path, platform_request request) {
    if (!is_read(path) && !is_write(path)) {
        co_return plain_error(not_found, base::error{base::error_kind::not_found, "no path " + path});
    }
    auto& limit = is_write(path) ? writes_ : reads_;
    const auto waiting = is_write(path) ? 0 : waiting_watches_;
    if (!limit.admit(base::clock::now(), waiting)) {
        ++counts_["rate_limited"];
        co_return rate_limited(limit.retry_after(waiting));
    }
    ++counts_["admitted" + path];
    if (faults_.delay_.count() > 0) {
        co_await http::sleep_for(faults_.delay_);
    }
    if (path == "/v1/watch") {
        co_return co_await answer_watch(std::move(request));
    }
    co_return is_write(path) ? answer_write(path, std::move(request)) : answer_read(path, request);
}

asio::awaitable<http::response> platform_server::answer_watch(platform_request request) {
    const waiting_watch counted{waiting_watches_};
    const auto length = std::min(request.milliseconds_.value_or(longest_watch), longest_watch);
    const auto deadline = base::clock::now() + length;
    auto present = store_.get(request.key_);
    while (!has_changed(present, request.after_revision_) && base::clock::now() < deadline) {
        co_await changed_.wait_for(deadline - base::clock::now());
        check_outage();
        present = store_.get(request.key_);
    }
    const bool changed = has_changed(present, request.after_revision_);
    co_return http::json_response(ok, encode_watch(present, changed));
}

http::response platform_server::answer_read(std::string_view path, const platform_request& request) {
    if (path == "/v1/hosts") {
        return http::json_response(ok, encode_hosts(hosts_.visible(base::clock::now())));
    }
    return http::json_response(ok, encode_item(store_.get(request.key_)));
}

http::response platform_server::answer_write(std::string_view path, platform_request request) {
    if (request.value_.size() > most_value_bytes) {
        return plain_error(too_large, {base::error_kind::too_large, "a value may have 1 MiB"});
    }
    auto body = make_change(path, std::move(request));
    if (faults_.answers_to_lose_ > 0) {
        --faults_.answers_to_lose_;
        ++counts_["answers_lost"];
        throw std::runtime_error{"the answer is lost on purpose"};
    }
    return http::json_response(ok, std::move(body));
}

std::string platform_server::make_change(std::string_view path, platform_request request) {
    const auto now = base::clock::now();
    if (path == "/v1/put_if") {
        return put(std::move(request));
    }
    if (path == "/v1/lease") {
        const auto lease = store_.grant_lease(request.milliseconds_.value_or(default_lease), now);
        lease_granted_.notify_all();
        return encode_lease(lease, true);
    }
    const auto lease = request.lease_.value_or(0);
    return encode_lease(lease, store_.renew_lease(lease, now));
}

std::string platform_server::put(platform_request request) {
    const auto result =
        store_.put_if(request.key_, std::move(request.value_), request.expected_revision_, request.lease_);
    if (result.applied_) {
        ++counts_["applied"];
        changed_.notify_all();
    }
    return encode_swap(result);
}

asio::awaitable<void> platform_server::wait_out_outage() {
    check_outage();
    while (faults_.outage_at(base::clock::now()) == outage_kind::gives_no_answer) {
        if (faults_.outage_end_) {
            const auto remaining = *faults_.outage_end_ - base::clock::now();
            co_await changed_.wait_for(std::max(remaining, base::clock::duration{1}));
        } else {
            co_await changed_.wait();
        }
        check_outage();
    }
}

void platform_server::check_outage() {
    if (faults_.outage_at(base::clock::now()) == outage_kind::closes_connections) {
        ++counts_["closed_by_outage"];
        throw std::runtime_error{"the store is down on purpose"};
    }
}

} // namespace stand_ins::platform
