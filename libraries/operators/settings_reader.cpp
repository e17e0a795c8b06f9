#include <operators/settings_reader.hpp>

#include <operators/file_format.hpp>
#include <operators/keyed_file.hpp>

#include <array>
#include <utility>

namespace operators {

namespace {

daemon_settings_fields build_settings(const keyed_file& file) {
    const auto daemon = file.section_of("daemon");
    const auto callers = file.section_of("callers");
    const auto peers = file.section_of("peers");
    daemon_settings_fields fields;
    fields.name_ = daemon.value_of<std::string>("name");
    fields.region_ = daemon.value_of<std::string>("region");
    fields.failure_domain_ = daemon.value_of<std::string>("failure_domain");
    fields.token_key_ = daemon.value_of<std::string>("token_key");
    fields.threads_ = static_cast<std::uint32_t>(daemon.value_of<std::uint64_t>("threads"));
    fields.drain_deadline_ = base::clock::duration{daemon.value_of<std::uint64_t>("drain_deadline_ms")};
    fields.log_level_ = daemon.value_of<std::string>("log_level");
    fields.caller_address_ = callers.value_of<base::endpoint>("address");
    fields.most_connections_ =
        static_cast<std::uint32_t>(callers.value_of<std::uint64_t>("most_connections"));
    fields.body_bytes_ = callers.value_of<std::uint64_t>("body_bytes");
    fields.header_bytes_ = static_cast<std::uint32_t>(callers.value_of<std::uint64_t>("header_bytes"));
    fields.tls_certificate_ = callers.value_of<std::string>("tls_certificate");
    fields.tls_key_ = callers.value_of<std::string>("tls_key");
    fields.operator_address_ = file.section_of("operators").value_of<base::endpoint>("address");
    fields.peer_address_ = peers.value_of<base::endpoint>("address");
    fields.seeds_ = peers.value_of<std::vector<base::endpoint>>("seeds");
    fields.platform_address_ = file.section_of("platform").value_of<base::endpoint>("address");
    return fields;
}

void find_contradictions(const daemon_settings_fields& fields, const std::string& file,
                         std::vector<problem>& problems) {
    const std::array<std::pair<std::string, base::endpoint>, 4> addresses{
        std::pair{"callers", fields.caller_address_}, std::pair{"operators", fields.operator_address_},
        std::pair{"peers", fields.peer_address_}, std::pair{"platform", fields.platform_address_}};
    for (auto one = addresses.begin(); one != addresses.end(); ++one) {
        for (auto other = addresses.begin(); other != one; ++other) {
            if (one->second == other->second && one->second.port() != 0) {
                problems.push_back({file, one->first, "address",
                                    one->second.to_string() + " is the address of [" + other->first + "] too",
                                    "give each section an address of its own"});
            }
        }
    }
    if (fields.tls_certificate_.empty() != fields.tls_key_.empty()) {
        problems.push_back({file, "callers", fields.tls_key_.empty() ? "tls_key" : "tls_certificate",
                            "only one of tls_certificate and tls_key is set",
                            "set both for TLS or neither for plain TCP"});
    }
}

} // namespace

checked<daemon_settings> read_settings(std::string_view text, std::string file) {
    auto read = read_keyed_text(text, std::move(file), daemon_settings_format());
    auto fields = build_settings(read);
    find_contradictions(fields, read.file_, read.problems_);
    if (!read.problems_.empty()) {
        return {std::nullopt, std::move(read.problems_)};
    }
    return {daemon_settings{std::move(fields)}, {}};
}

checked<daemon_settings> load_settings(const std::string& path) {
    const auto text = read_whole_file(path);
    if (!text) {
        return {std::nullopt,
                {{path, "", "", text.last_reason().message(), "check the path and its permissions"}}};
    }
    return read_settings(*text, path);
}

} // namespace operators
