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

constexpr std::size_t read_size_bytes = 4096;
// An empty buffer with more capacity is shrunk, because most connections are idle.
constexpr std::size_t max_idle_buffer_bytes = 16384;
constexpr std::string_view line_terminator = "\r\n";

} // namespace

line_socket::line_socket(const asio::any_io_executor& executor)
    : state_{std::make_shared<state>(asio::ip::tcp::socket{executor})} {}

line_socket::line_socket(asio::ip::tcp::socket socket) : state_{std::make_shared<state>(std::move(socket))} {}

line_socket::~line_socket() {
    close();
}

asio::awaitable<bool> line_socket::connect(base::endpoint peer, base::clock::duration timeout,
                                           base::clock::duration unacknowledged_timeout) {
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(peer.address(), failure);
    if (failure) {
        co_return false;
    }
    const auto shared = state_;
    expires_after(timeout);
    const asio::ip::tcp::endpoint target{address, peer.port()};
    co_await shared->socket_.async_connect(target, asio::redirect_error(asio::use_awaitable, failure));
    expires_never();
    if (!failure && !shared->has_expired_) {
        shared->socket_.set_option(asio::ip::tcp::no_delay{true}, failure);
        set_unacknowledged_timeout(unacknowledged_timeout);
    }
    if (failure || shared->has_expired_) {
        close();
        co_return false;
    }
    co_return true;
}

void line_socket::set_unacknowledged_timeout(base::clock::duration timeout) {
    const auto milliseconds = static_cast<unsigned>(timeout.count());
    // Best effort: if the option cannot be set, an unreachable peer is detected by the statement's timeout.
    ::setsockopt(state_->socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                 sizeof milliseconds);
}

asio::awaitable<std::optional<std::string>> line_socket::read_line(std::size_t max_line_bytes) {
    const auto shared = state_;
    std::size_t searched = consumed_;
    for (;;) {
        const auto end = input_.find(line_terminator, searched);
        if (end != std::string::npos) {
            if (end + line_terminator.size() - consumed_ > max_line_bytes) {
                break;
            }
            std::string line = input_.substr(consumed_, end - consumed_);
            consumed_ = end + line_terminator.size();
            if (consumed_ == input_.size()) {
                input_.clear();
                consumed_ = 0;
                if (input_.capacity() > max_idle_buffer_bytes) {
                    input_.shrink_to_fit();
                }
            }
            co_return line;
        }
        input_.erase(0, consumed_);
        consumed_ = 0;
        if (input_.size() >= max_line_bytes || !shared->socket_.is_open()) {
            break;
        }
        // The line terminator may be split between two reads.
        searched = input_.empty() ? 0 : input_.size() - 1;
        boost::system::error_code failure;
        co_await shared->socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                            asio::redirect_error(asio::use_awaitable, failure));
        if (failure || !shared->socket_.is_open()) {
            break;
        }
        const auto before = input_.size();
        input_.resize(before + read_size_bytes);
        const auto space = asio::buffer(input_.data() + before, read_size_bytes);
        shared->socket_.non_blocking(true, failure);
        const auto count = shared->socket_.read_some(space, failure);
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
    const auto shared = state_;
    if (!shared->socket_.is_open()) {
        co_return false;
    }
    boost::system::error_code failure;
    const auto data = asio::buffer(bytes);
    co_await asio::async_write(shared->socket_, data, asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

void line_socket::expires_at(base::clock::time_point deadline) {
    expires_after(std::max(deadline - base::clock::now(), base::clock::duration{0}));
}

void line_socket::expires_after(base::clock::duration timeout) {
    state_->timer_.expires_after(timeout);
    const auto generation = ++state_->timer_generation_;
    state_->timer_.async_wait([shared = state_, generation](const boost::system::error_code& failure) {
        if (!failure && shared->timer_generation_ == generation) {
            shared->has_expired_ = true;
            boost::system::error_code ignored;
            shared->socket_.close(ignored);
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
