#include <stand_ins/session_platform/fault_link.hpp>

#include <http/sleep.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace stand_ins {

namespace asio = boost::asio;

namespace {

constexpr std::size_t chunk_bytes = 16'384;
constexpr base::clock::duration blocked_poll{20};
constexpr base::clock::duration delay{80};

} // namespace

struct fault_link::connection {
    connection(socket source, socket target) : source_{std::move(source)}, target_{std::move(target)} {}

    void reset() {
        boost::system::error_code ignored;
        for (auto* one : {&source_, &target_}) {
            one->set_option(asio::socket_base::linger{true, 0}, ignored);
            one->close(ignored);
        }
    }

    socket source_;
    socket target_;
    bool is_forgotten_ = false;
};

fault_link::fault_link(asio::any_io_executor executor, base::endpoint target)
    : executor_{std::move(executor)}, target_{std::move(target)} {}

bool fault_link::listen(const base::endpoint& local) {
    auto opened = http::listener::open(executor_, local);
    if (!opened) {
        return false;
    }
    listener_ = std::make_shared<http::listener>(std::move(*opened));
    asio::co_spawn(executor_, accept(shared_from_this()), asio::detached);
    return true;
}

void fault_link::set_fault(link_fault fault) {
    fault_ = fault;
    if (fault == link_fault::reset) {
        close_connections();
    }
    for (const auto& one : connections_) {
        const auto open = one.lock();
        if (open && fault == link_fault::silent) {
            open->is_forgotten_ = true;
        }
    }
}

void fault_link::set_rejecting(bool is_rejecting) {
    is_rejecting_ = is_rejecting;
    if (is_rejecting) {
        close_connections();
    }
}

void fault_link::close_connections() {
    for (const auto& one : connections_) {
        if (const auto open = one.lock()) {
            open->reset();
        }
    }
    connections_.clear();
}

asio::awaitable<void> fault_link::accept(std::shared_ptr<fault_link> self) {
    for (;;) {
        auto accepted = co_await self->listener_->accept();
        if (!accepted) {
            co_return;
        }
        asio::co_spawn(executor_, open(self, std::move(*accepted)), asio::detached);
    }
}

asio::awaitable<void> fault_link::open(std::shared_ptr<fault_link> self, socket source) {
    socket target{self->executor_};
    boost::system::error_code failure;
    const asio::ip::tcp::endpoint to{asio::ip::make_address(self->target_.address()), self->target_.port()};
    co_await target.async_connect(to, asio::redirect_error(asio::use_awaitable, failure));
    auto through = std::make_shared<connection>(std::move(source), std::move(target));
    if (failure || self->is_rejecting_ || self->fault_ == link_fault::reset) {
        through->reset();
        co_return;
    }
    through->target_.set_option(asio::ip::tcp::no_delay{true}, failure);
    std::erase_if(self->connections_, [](const auto& one) { return one.expired(); });
    self->connections_.push_back(through);
    asio::co_spawn(executor_, forward(self, through, direction::to_target), asio::detached);
    asio::co_spawn(executor_, forward(self, through, direction::to_source), asio::detached);
}

bool fault_link::is_blocked(const connection& through, direction way) const noexcept {
    const bool is_one_way = fault_ == link_fault::silent_answers && way == direction::to_source;
    return through.is_forgotten_ || fault_ == link_fault::silent || is_one_way;
}

asio::awaitable<void> fault_link::forward(std::shared_ptr<fault_link> self,
                                          std::shared_ptr<connection> through, direction way) {
    auto& from = way == direction::to_target ? through->source_ : through->target_;
    auto& to = way == direction::to_target ? through->target_ : through->source_;
    std::array<char, chunk_bytes> bytes{};
    for (;;) {
        boost::system::error_code failure;
        const auto count = co_await from.async_read_some(asio::buffer(bytes),
                                                         asio::redirect_error(asio::use_awaitable, failure));
        while (self->is_blocked(*through, way) && to.is_open()) {
            co_await http::sleep_for(blocked_poll);
        }
        if (self->fault_ == link_fault::delayed) {
            co_await http::sleep_for(delay);
        }
        if (!failure) {
            co_await asio::async_write(to, asio::buffer(bytes, count),
                                       asio::redirect_error(asio::use_awaitable, failure));
        }
        if (failure) {
            through->reset();
            co_return;
        }
    }
}

} // namespace stand_ins
