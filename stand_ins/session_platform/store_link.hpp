#pragma once

#include <base/endpoint.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace stand_ins {

/// The link between one daemon and the store. It forwards connections, and can reject them or limit their
/// bandwidth, while other daemons reach the store directly. Thread safety: used by the thread of its executor
/// only.
class store_link {
public:
    store_link(boost::asio::any_io_executor executor, base::endpoint store);

    /// Listens. Precondition: called once. Returns whether the address was free.
    [[nodiscard]] bool listen(const base::endpoint& local);

    /// Closes the open connections and each new one from now on, or no longer.
    void set_rejecting(bool is_rejecting);
    /// Limits how many bytes of responses pass in a second, over all connections; nothing for no limit.
    void set_bandwidth(std::optional<std::size_t> bytes_per_second);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace stand_ins
