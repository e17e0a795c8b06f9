#include <http/line_socket.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t read_bytes = 4096;
// A buffer that a long line has grown is given back, because most connections are idle.
constexpr std::size_t kept_buffer_bytes = 16384;
constexpr std::string_view line_end = "\r\n";

} // namespace

line_socket::line_socket(const asio::any_io_executor& executor)
    : state_{std::make_shared<state>(asio::ip::tcp::socket{executor})} {}

line_socket::line_socket(asio::ip::tcp::socket socket) : state_{std::make_shared<state>(std::move(socket))} {}

line_socket::~line_socket() {
    close();
}

asio::awaitable<bool> line_socket::connect(base::endpoint peer, base::clock::duration limit,
                                           base::clock::duration unacknowledged_timeout) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(peer.address(), failure);
    if (failure) {
        co_return false;
    }
    const auto held = state_;
    expires_after(limit);
    const asio::ip::tcp::endpoint target{address, peer.port()};
    co_await held->socket_.async_connect(target, asio::redirect_error(asio::use_awaitable, failure));
    expires_never();
    if (!failure && !held->has_expired_) {
        held->socket_.set_option(asio::ip::tcp::no_delay{true}, failure);
        set_unacknowledged_timeout(unacknowledged_timeout);
    }
    if (failure || held->has_expired_) {
        close();
        co_return false;
    }
    co_return true;
}

void line_socket::set_unacknowledged_timeout(base::clock::duration limit) {
    const auto milliseconds = static_cast<unsigned>(limit.count());
    // Best effort: without the option a silent peer is noticed by the time limit of the statement.
    ::setsockopt(state_->socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                 sizeof milliseconds);
}

asio::awaitable<std::optional<std::string>> line_socket::read_line(std::size_t most_bytes) {
    const auto held = state_;
    std::size_t searched = consumed_;
    for (;;) {
        const auto end = input_.find(line_end, searched);
        if (end != std::string::npos) {
            std::string line = input_.substr(consumed_, end - consumed_);
            consumed_ = end + line_end.size();
            if (consumed_ == input_.size()) {
                input_.clear();
                consumed_ = 0;
                if (input_.capacity() > kept_buffer_bytes) {
                    input_.shrink_to_fit();
                }
            }
            co_return line;
        }
        input_.erase(0, consumed_);
        consumed_ = 0;
        if (input_.size() > most_bytes || !held->socket_.is_open()) {
            break;
        }
        // The line end may be split between two reads.
        searched = input_.empty() ? 0 : input_.size() - 1;
        boost::system::error_code failure;
        co_await held->socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                          asio::redirect_error(asio::use_awaitable, failure));
        if (failure || !held->socket_.is_open()) {
            break;
        }
        const auto before = input_.size();
        input_.resize(before + read_bytes);
        const auto space = asio::buffer(input_.data() + before, read_bytes);
        held->socket_.non_blocking(true, failure);
        const auto count = held->socket_.read_some(space, failure);
        input_.resize(before + count);
        if (failure == asio::error::would_block) {
            continue;
        }
        if (failure) {
            break;
        }
    }
    close();
    co_return std::nullopt;
}

asio::awaitable<bool> line_socket::write(std::string bytes) {
    const auto held = state_;
    if (!held->socket_.is_open()) {
        co_return false;
    }
    boost::system::error_code failure;
    const auto data = asio::buffer(bytes);
    co_await asio::async_write(held->socket_, data, asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

void line_socket::expires_at(base::clock::time_point moment) {
    expires_after(std::max(moment - base::clock::now(), base::clock::duration{0}));
}

void line_socket::expires_after(base::clock::duration limit) {
    state_->timer_.expires_after(limit);
    const auto generation = ++state_->timer_generation_;
    state_->timer_.async_wait([held = state_, generation](const boost::system::error_code& failure) {
        if (!failure && held->timer_generation_ == generation) {
            held->has_expired_ = true;
            boost::system::error_code ignored;
            held->socket_.close(ignored);
        }
    });
}

void line_socket::expires_never() {
    ++state_->timer_generation_;
    state_->timer_.cancel();
}

void line_socket::close() noexcept {
    boost::system::error_code ignored;
    expires_never();
    state_->socket_.close(ignored);
}

bool line_socket::has_pending_input() const noexcept {
    if (consumed_ < input_.size()) {
        return true;
    }
    char byte = 0;
    const auto count = ::recv(state_->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0;
}

} // namespace http
