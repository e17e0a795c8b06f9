#include <proxy/operator_codec.hpp>

#include <callers/response_codec.hpp>
#include <daemons/owner_choice.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace proxy {

namespace {

namespace json = boost::json;

constexpr double median = 0.5;
constexpr double quantile_99 = 0.99;

json::array encode_buckets(const base::latency_buckets& buckets) {
    json::array encoded;
    for (std::size_t index = 0; index < buckets->counts_.size(); ++index) {
        json::object bucket;
        if (index < base::latency_bounds_us.size()) {
            bucket["up_to_us"] = base::latency_bounds_us[index];
        }
        bucket["count"] = buckets->counts_[index];
        encoded.push_back(std::move(bucket));
    }
    return encoded;
}

json::object encode_series(const base::metric_key& key, const base::latency_buckets& buckets) {
    json::object series;
    series["service"] = key->service_;
    series["tenant"] = key->tenant_;
    series["rank"] = key->rank_;
    series["outcome"] = base::name_of(key->outcome_);
    series["count"] = base::count_of(buckets);
    series["median_us"] = base::estimate_quantile(buckets, median).count();
    series["quantile_99_us"] = base::estimate_quantile(buckets, quantile_99).count();
    series["longest_us"] = buckets->max_us_;
    series["histogram"] = encode_buckets(buckets);
    return series;
}

base::error invalid(std::string message) {
    return base::error{base::error_kind::invalid_request, std::move(message)};
}

std::string text_or_empty(const json::object& body, std::string_view name) {
    const auto* value = body.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{std::string_view{value->get_string()}}
                                                  : std::string{};
}

std::string_view name_of(base::access access) {
    return access == base::access::read ? "read" : "write";
}

} // namespace

std::string encode_stats(const std::map<base::metric_key, base::latency_buckets>& totals) {
    json::array series;
    for (const auto& [key, buckets] : totals) {
        series.push_back(encode_series(key, buckets));
    }
    json::object body;
    body["requests"] = std::move(series);
    return json::serialize(body);
}

base::result<base::request> decode_explained_request(const std::string& body) {
    boost::system::error_code failure;
    const auto value = json::parse(body, failure);
    if (failure || !value.is_object()) {
        return invalid("the body is not a JSON object");
    }
    const auto& object = value.get_object();
    for (const std::string_view name : {"service", "tenant", "rank"}) {
        if (text_or_empty(object, name).empty()) {
            return invalid("field '" + std::string{name} + "' is missing or not a string");
        }
    }
    const auto access = text_or_empty(object, "access");
    if (!access.empty() && access != "read" && access != "write") {
        return invalid("field 'access' is neither 'read' nor 'write'");
    }
    const auto* deadline = object.if_contains("deadline_ms");
    if (deadline != nullptr && (!deadline->is_int64() || deadline->get_int64() <= 0)) {
        return invalid("field 'deadline_ms' is not a whole number above 0");
    }
    return base::request{base::request_fields{
        .service_ = text_or_empty(object, "service"),
        .tenant_ = text_or_empty(object, "tenant"),
        .rank_ = text_or_empty(object, "rank"),
        .access_ = access == "write" ? base::access::write : base::access::read,
        .read_class_ = text_or_empty(object, "read_class"),
        .time_left_ = base::clock::duration{deadline == nullptr ? 0 : deadline->get_int64()},
    }};
}

std::string encode_explanation(const routed_request& routed, const daemons::member_list& members) {
    const auto& service = routed->service_;
    const auto choice = daemons::choose_owner(members, service->region_, service->name_);
    json::object body;
    body["service"] = service->name_;
    body["access"] = name_of(routed->request_->access_);
    body["home"] = choice ? choice->owner_->name_ : std::string{};
    body["standby"] = choice && choice->standby_ ? (*choice->standby_)->name_ : std::string{};
    body["rank"] = routed->request_->rank_;
    body["rank_position"] = routed->rank_;
    body["least_share_percent"] = service->ranks_[routed->rank_].least_share_percent_;
    body["deadline_ms"] = routed->request_->time_left_.count();
    body["staleness_ms"] = routed->staleness_.count();
    const bool by_replica =
        routed->request_->access_ == base::access::read && routed->staleness_ > base::clock::duration{0};
    body["served_by"] =
        by_replica ? "a replica that holds the session's position, else the primary" : "the primary";
    return json::serialize(body);
}

http::response encode_operator_error(const base::error& reason) {
    json::object description;
    description["kind"] = base::name_of(reason.kind());
    description["message"] = reason.message();
    description["remedy"] = reason.remedy();
    json::object body;
    body["error"] = std::move(description);
    return http::json_response(callers::status_for(base::outcome::not_run, reason), json::serialize(body));
}

} // namespace proxy
