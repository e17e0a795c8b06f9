#pragma once

#include <base/clock.hpp>
#include <http/line_socket.hpp>
#include <utilities/sassafras_soak/operation_record.hpp>

#include <boost/asio/awaitable.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace soak {

/// How the clients of one route may read.
struct client_route {
    std::string service_;
    std::string database_;
    base::clock::duration staleness_{0};
    bool sees_own_writes_ = false;

    friend auto operator<=>(const client_route&, const client_route&) = default;
};

/// What a run offers its clients.
struct client_plan {
    std::vector<std::uint16_t> ports_;
    std::vector<client_route> routes_;
    /// The API keys that clients present, also those that no tenant holds now; empty without tenants.
    std::vector<std::string> keys_;
    std::uint32_t clients_ = 1;
    std::uint64_t seed_ = 0;
};

/// One client: session after session at any daemon, each with single statements and transactions on keys that
/// all clients share, session values, and prepared statements whose names and shapes collide with those of
/// others. It goes on using an open connection until that breaks. Thread safety: used by one
/// thread.
class soak_client {
public:
    soak_client(const client_plan& plan, std::uint32_t number, client_history& history);

    /// Runs sessions until `stop` was called and the present operation is over.
    [[nodiscard]] boost::asio::awaitable<void> run();
    void stop() noexcept { is_stopping_ = true; }
    [[nodiscard]] bool is_done() const noexcept { return is_done_; }

private:
    struct reply {
        /// Whether the answer arrived whole.
        bool is_whole_ = false;
        std::string row_;
        /// Empty for a success.
        std::string error_;

        [[nodiscard]] bool is_done() const noexcept { return is_whole_ && error_.empty(); }
    };
    struct pending_write {
        std::string id_;
        std::string key_;
        std::string value_;
    };

    [[nodiscard]] boost::asio::awaitable<bool> begin_session();
    [[nodiscard]] boost::asio::awaitable<void> run_session();
    /// Each returns whether the session may go on.
    [[nodiscard]] boost::asio::awaitable<bool> write_once();
    [[nodiscard]] boost::asio::awaitable<bool> read_once();
    [[nodiscard]] boost::asio::awaitable<bool> run_transaction();
    /// Changes session values and prepared statements in a part of the calls.
    [[nodiscard]] boost::asio::awaitable<bool> change_session_at_times();
    [[nodiscard]] boost::asio::awaitable<bool> set_value(std::string name, std::string value);
    [[nodiscard]] boost::asio::awaitable<bool> prepare(std::string name, std::string effect_and_shape);
    [[nodiscard]] boost::asio::awaitable<bool> deallocate(std::string name);
    [[nodiscard]] boost::asio::awaitable<reply> ask(std::string id, std::string text);

    pending_write next_write();
    /// Returns the beginning of a statement of an effect, `FETCH` or `STORE`: plain or with a prepared name.
    [[nodiscard]] std::string any_verb(const std::string& effect);
    template <std::size_t Size>
    [[nodiscard]] std::string any_of(const std::array<std::string_view, Size>& texts) {
        return std::string{texts.at(below(Size))};
    }
    void record(const pending_write& write, write_outcome outcome);
    void check_row(const std::string& id, const std::string& key, const std::string& row,
                   base::clock::time_point began_at);
    void record_key_refusal(base::clock::time_point sent_at);
    [[nodiscard]] static write_outcome outcome_of(const reply& response);
    [[nodiscard]] std::string next_id();
    [[nodiscard]] std::string any_key();
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
    [[nodiscard]] std::string tag() const;

    const client_plan& plan_;
    std::uint32_t number_;
    client_history& history_;
    std::mt19937_64 random_;
    /// Apart from `random_`, so that a seed plays the same operations without tenants.
    std::mt19937_64 key_random_;
    std::unique_ptr<http::line_socket> socket_;
    client_route route_;
    std::uint32_t daemon_ = 0;
    std::string key_;
    std::uint64_t session_ = 0;
    /// What was acknowledged in this session: its values, and effect and shape of its prepared names.
    std::map<std::string, std::string> values_;
    std::map<std::string, std::string> prepared_;
    std::uint64_t last_id_ = 0;
    bool is_stopping_ = false;
    bool is_done_ = false;
};

} // namespace soak
