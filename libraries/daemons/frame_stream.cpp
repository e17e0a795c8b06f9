#include <daemons/frame_stream.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace daemons {

namespace asio = boost::asio;

namespace {

// Queued frames are combined into writes of about this size, which saves a system call for each small frame.
constexpr std::size_t batch_bytes = std::size_t{64} * 1024;

} // namespace

asio::awaitable<base::result<frame>> frame_stream::read() {
    while (true) {
        auto decoded = decoder_.next();
        if (!decoded) {
            co_return decoded.last_reason();
        }
        if (decoded->has_value()) {
            co_return std::move(**decoded);
        }
        boost::system::error_code failure;
        const auto buffer = asio::buffer(input_);
        const auto count =
            co_await socket_.async_read_some(buffer, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            co_return base::error{base::error_kind::connection_failed, failure.message()};
        }
        last_received_ = base::clock::now();
        decoder_.append(std::string_view{input_.data(), count});
    }
}

void frame_stream::send(const frame& message) {
    if (!is_open()) {
        return;
    }
    queue_.push_back({message.id(), encode_frame(message)});
    queued_bytes_ += queue_.back().bytes_.size();
    if (writing_.empty()) {
        fill_batch();
        asio::co_spawn(socket_.get_executor(), write_queued(shared_from_this()), asio::detached);
    }
}

bool frame_stream::withdraw(std::uint64_t id) {
    const auto found = std::ranges::find(queue_, id, &queued_frame::id_);
    if (found == queue_.end()) {
        return false;
    }
    queued_bytes_ -= found->bytes_.size();
    queue_.erase(found);
    return true;
}

void frame_stream::close() noexcept {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void frame_stream::fill_batch() {
    writing_.clear();
    while (!queue_.empty() && (writing_.empty() || writing_.size() < batch_bytes)) {
        queued_bytes_ -= queue_.front().bytes_.size();
        writing_.append(queue_.front().bytes_);
        queue_.pop_front();
    }
}

asio::awaitable<void> frame_stream::write_queued(std::shared_ptr<frame_stream> self) {
    while (!self->writing_.empty()) {
        boost::system::error_code failure;
        const auto buffer = asio::buffer(self->writing_);
        co_await asio::async_write(self->socket_, buffer, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            self->close();
            self->writing_.clear();
            co_return;
        }
        self->fill_batch();
    }
}

} // namespace daemons
