#pragma once

#include <http/message.hpp>
#include <http/wait_signal.hpp>
#include <stand_ins/platform/call_limit.hpp>
#include <stand_ins/platform/host_history.hpp>
#include <stand_ins/platform/key_value_store.hpp>
#include <stand_ins/platform/platform_codec.hpp>
#include <stand_ins/platform/platform_faults.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace stand_ins::platform {

/// What a stand-in platform is started with.
struct platform_settings {
    std::uint64_t reads_per_second_ = 2'000;
    std::uint64_t writes_per_second_ = 400;
    host_items hosts_;
    base::clock::duration hosts_lag_{0};
};

/// Serves the platform interface and its control paths. Thread safety: used by one thread.
class platform_server {
public:
    explicit platform_server(platform_settings settings);

    /// Answers one request. Throws when the connection has to be closed without an answer.
    [[nodiscard]] boost::asio::awaitable<http::response> answer(http::request message);

    /// Ends leases when they are due, for as long as the process runs.
    [[nodiscard]] boost::asio::awaitable<void> expire_leases();

private:
    [[nodiscard]] http::response answer_control(std::string_view path, const platform_request& request);
    [[nodiscard]] bool change_faults(std::string_view path, const platform_request& request);

    [[nodiscard]] boost::asio::awaitable<http::response> answer_call(std::string path,
                                                                     platform_request request);
    [[nodiscard]] boost::asio::awaitable<http::response> answer_watch(platform_request request);
    [[nodiscard]] http::response answer_read(std::string_view path, const platform_request& request);
    [[nodiscard]] http::response answer_write(std::string_view path, platform_request request);
    [[nodiscard]] std::string make_change(std::string_view path, platform_request request);
    [[nodiscard]] std::string put(platform_request request);

    [[nodiscard]] boost::asio::awaitable<void> wait_out_outage();
    void check_outage();

    key_value_store store_;
    host_history hosts_;
    platform_faults faults_;
    call_limit reads_;
    call_limit writes_;
    std::size_t waiting_watches_ = 0;
    std::map<std::string, std::uint64_t> counts_;
    /// Notified when a key or the staged faults change.
    http::wait_signal changed_;
    http::wait_signal lease_granted_;
};

} // namespace stand_ins::platform
