#include <operators/session_settings.hpp>

#include <operators/file_format.hpp>
#include <operators/keyed_file.hpp>

#include <utility>

namespace operators {

namespace {

constexpr double thousand = 1'000;

base::endpoint address_in(const keyed_file& file, std::string_view section) {
    return file.section_of(section).value_of<base::endpoint>("address");
}

void read_limits(const keyed_section& limits, session_settings_fields& fields) {
    const auto read_duration = [&limits](const char* key, base::clock::duration& into) {
        const auto milliseconds = limits.value_of<std::uint64_t>(key);
        into = milliseconds > 0 ? base::clock::duration{milliseconds} : into;
    };
    const auto memory_mb = limits.value_of<std::uint64_t>("memory_mb");
    fields.memory_bytes_ =
        memory_mb > 0 ? memory_mb * session_settings_fields::bytes_per_mb : fields.memory_bytes_;
    fields.max_descriptors_ = limits.value_of<std::uint64_t>("max_fds");
    read_duration("start_timeout_ms", fields.start_timeout_);
    read_duration("line_timeout_ms", fields.line_timeout_);
    read_duration("response_timeout_ms", fields.response_timeout_);
}

session_settings_fields build_settings(const keyed_file& file) {
    const auto daemon = file.section_of("daemon");
    session_settings_fields fields;
    fields.name_ = daemon.value_of<std::string>("name");
    fields.failure_domain_ = daemon.value_of<std::string>("failure_domain");
    fields.threads_ = static_cast<std::uint32_t>(daemon.value_of<std::uint64_t>("threads"));
    fields.log_level_ = daemon.value_of<std::string>("log_level");
    fields.client_address_ = address_in(file, "clients");
    fields.readiness_address_ = address_in(file, "readiness");
    fields.peer_address_ = address_in(file, "peers");
    fields.metrics_address_ = address_in(file, "metrics");
    fields.store_address_ = address_in(file, "store");
    fields.promotion_address_ = address_in(file, "promotion");
    const auto grace = file.section_of("stop").value_of<std::uint64_t>("grace_s");
    fields.grace_ = grace > 0 ? base::clock::duration{grace} : fields.grace_;
    const auto leaving = file.section_of("databases").value_of<std::uint64_t>("leaving_ms");
    fields.leaving_ = leaving > 0 ? base::clock::duration{leaving} : fields.leaving_;
    const auto quota = file.section_of("quota");
    if (quota.values_.contains("window_s")) {
        fields.quota_window_ = base::clock::duration{quota.value_of<std::uint64_t>("window_s")};
        fields.quota_over_ = static_cast<double>(quota.value_of<std::uint64_t>("over")) / thousand;
        fields.quota_slack_ = static_cast<double>(quota.value_of<std::uint64_t>("slack")) / thousand;
    }
    read_limits(file.section_of("limits"), fields);
    return fields;
}

} // namespace

checked<session_settings> read_session_settings(std::string_view text, std::string file) {
    auto read = read_keyed_text(text, std::move(file), session_settings_format());
    if (!read.problems_.empty()) {
        return {std::nullopt, std::move(read.problems_)};
    }
    return {session_settings{build_settings(read)}, {}};
}

checked<session_settings> load_session_settings(const std::string& path) {
    const auto text = read_whole_file(path);
    if (!text) {
        return {std::nullopt,
                {{path, "", "", text.last_reason().message(), "check the path and its permissions"}}};
    }
    return read_session_settings(*text, path);
}

} // namespace operators
