#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <http/message.hpp>
#include <http/server.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace stand_ins {

/// A stand-in of the platform's store and of its promotion calls, for tests of session daemons. Leases end
/// only where that is asked for. Thread safety: used by the thread of its executor only.
class store_server {
public:
    /// Called with a service and a database for each promotion order; returns the status to answer.
    using promotion = std::function<unsigned(const std::string&, const std::string&)>;

    store_server(boost::asio::any_io_executor executor, promotion on_promotion);

    /// Listens. Precondition: called once. Returns whether the address was free.
    [[nodiscard]] bool listen(const base::endpoint& local);

    /// Writes a key, as the operator or a database would.
    void put(const std::string& key, std::string value);
    void remove(const std::string& key);
    /// Returns a key's value; empty when it is absent.
    [[nodiscard]] std::string value_of(const std::string& key) const;
    /// Refuses every call with 503 from now on, or no longer.
    void set_refusing(bool is_refusing);
    /// Never responds to the calls that arrive from now on, or responds to new calls again.
    void set_silent(bool is_silent);
    /// Returns the number of watches that arrived while the store was silent.
    [[nodiscard]] std::uint64_t swallowed_watches() const;
    /// Ends leases that are not renewed from now on.
    void set_ending_leases(bool is_ending);
    /// Makes changes from now on without answering them, or no longer.
    void set_losing_answers(bool is_losing);
    /// Forgets the changes so far: a watch that continues from before them is answered with 410.
    void forget_history();
    [[nodiscard]] std::uint64_t calls() const;
    /// States a history in each response from now on, beginning with `era`. Without this call none is stated.
    void state_era(std::uint64_t era);
    [[nodiscard]] std::uint64_t era() const;
    /// Remembers the store's contents, with its leases, revisions and history. Copies of the last 15 s are
    /// kept.
    void take_copy();
    /// Goes back to the newest copy that is at least `age` old, or the oldest one, in the next era. Leases
    /// have the time left that they had then. The keys under `op/` and `servers/` keep their present values,
    /// as if the operator and the databases had written them again. Later copies are discarded. Precondition:
    /// a copy was taken, and the store states its era.
    void return_to_copy(base::clock::duration age = base::clock::duration{0});
    /// Returns the fencing tokens of the promotion calls, in order.
    [[nodiscard]] const std::vector<std::uint64_t>& promotion_tokens() const;

private:
    struct state;
    struct handler {
        std::shared_ptr<state> state_;
        boost::asio::awaitable<http::response> operator()(http::request message,
                                                          std::size_t connection) const;
        [[nodiscard]] static boost::asio::awaitable<http::response> respond(std::shared_ptr<state> held,
                                                                            http::request message);
    };

    boost::asio::any_io_executor executor_;
    std::shared_ptr<state> state_;
};

} // namespace stand_ins
