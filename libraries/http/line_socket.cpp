#include <http/line_socket.hpp>

#include <http/sleep.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t min_read_bytes = 2048;
constexpr std::size_t max_read_bytes = 65536;
// How soon a connection that waits for memory asks for it again.
constexpr base::clock::duration memory_retry_interval{10};
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

asio::awaitable<bool> line_socket::reserve_input(std::size_t size, std::size_t max_line_bytes) {
    if (size <= input_.capacity()) {
        co_return true;
    }
    // Doubling keeps the copies of a growing line few. No line needs more than its maximum and the start of
    // the next one.
    const auto capacity = std::max(size, std::min(2 * input_.capacity(), max_line_bytes + min_read_bytes));
    const auto counted = capacity > free_input_bytes ? capacity : 0;
    const auto shared = state_;
    while (!input_hold_.try_resize(std::max<std::uint64_t>(counted, input_hold_.bytes()))) {
        co_await sleep_for(memory_retry_interval);
        if (!shared->socket_.is_open()) {
            co_return false;
        }
    }
    input_.reserve(capacity);
    co_return true;
}

void line_socket::shrink_input() {
    if (input_.empty() && input_.capacity() > free_input_bytes) {
        std::string{}.swap(input_);
    }
    const auto counted = input_.capacity() > free_input_bytes ? input_.capacity() : 0;
    if (counted < input_hold_.bytes()) {
        input_hold_.resize(counted);
    }
}

asio::awaitable<std::optional<std::string>> line_socket::read_line(std::size_t max_line_bytes) {
    const auto shared = state_;
    shrink_input();
    std::size_t searched = consumed_;
    for (;;) {
        const auto end = input_.find(line_terminator, searched);
        if (end != std::string::npos) {
            partial_line_since_.reset();
            if (end + line_terminator.size() - consumed_ > max_line_bytes) {
                is_line_too_long_ = true;
                break;
            }
            if (consumed_ == 0 && end + line_terminator.size() == input_.size()) {
                // Avoids a second copy of a long line; what it holds of the budget is kept until the next
                // call.
                auto line = std::exchange(input_, {});
                line.resize(end);
                co_return line;
            }
            auto line = input_.substr(consumed_, end - consumed_);
            consumed_ = end + line_terminator.size();
            if (consumed_ == input_.size()) {
                input_.clear();
                consumed_ = 0;
            }
            co_return line;
        }
        input_.erase(0, consumed_);
        consumed_ = 0;
        if (input_.size() >= max_line_bytes) {
            is_line_too_long_ = true;
            break;
        }
        if (!shared->socket_.is_open()) {
            break;
        }
        if (input_.empty()) {
            partial_line_since_.reset();
        } else if (!partial_line_since_) {
            partial_line_since_ = base::clock::now();
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
        const bool has_room = co_await reserve_input(before + min_read_bytes, max_line_bytes);
        if (!has_room || !shared->socket_.is_open()) {
            break;
        }
        const auto read_size = std::clamp(input_.capacity() - before, min_read_bytes, max_read_bytes);
        input_.resize(before + read_size);
        const auto space = asio::buffer(input_.data() + before, read_size);
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
    shared->socket_.non_blocking(true, failure);
    std::size_t written = 0;
    while (!failure && written < bytes.size()) {
        written += shared->socket_.write_some(asio::buffer(bytes) + written, failure);
        if (failure == asio::error::would_block) {
            unread_since_ = base::clock::now();
            failure = {};
            co_await shared->socket_.async_wait(asio::ip::tcp::socket::wait_write,
                                                asio::redirect_error(asio::use_awaitable, failure));
            if (!failure && !shared->socket_.is_open()) {
                failure = asio::error::operation_aborted;
            }
        }
    }
    unread_since_.reset();
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

std::string line_socket::peer() const {
    boost::system::error_code failure;
    const auto endpoint = state_->socket_.remote_endpoint(failure);
    return failure ? std::string{"-"}
                   : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
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
