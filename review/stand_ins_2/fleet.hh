#pragma once

#include "gate.hh"
#include "store.hh"

#include <stand_ins/session_platform/line_database.hpp>

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A promotion call as the platform received it.
struct promotion_call {
    base::clock::time_point at_{};
    std::string service_;
    std::string database_;
    std::string holder_;
    std::uint64_t token_ = 0;
    unsigned status_ = 0;
};

/// An operation of a client: one write or one read of a key whose values only grow.
struct operation {
    std::string id_;
    std::size_t daemon_ = 0;
    std::string key_;
    /// The value to write; 0 for a read.
    std::uint64_t value_ = 0;
    base::clock::time_point sent_at_{};
    base::clock::time_point answered_at_{};
    /// `COMPLETE`, the code of an error, or `-` if no answer came.
    std::string status_ = "-";
    /// The database that ran it, and the value that it returned to a read.
    std::string database_;
    std::uint64_t read_value_ = 0;
};

/// Three services with three databases each, the platform's store and promotion calls, session daemons as
/// separate processes, and clients. Thread safety: used by one thread only.
class fleet {
public:
    /// `root` is the repository, `folder` a temporary folder, `record` the file of what happened.
    fleet(boost::asio::io_context& context, std::string root, std::string folder, const std::string& record);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Starts the stand-ins and writes the configuration. Returns whether all could listen.
    [[nodiscard]] bool start();
    [[nodiscard]] std::uint16_t next_port();

    /// Starts a daemon and returns its number.
    std::size_t add_daemon();
    void signal_daemon(std::size_t number, int signal);
    [[nodiscard]] boost::asio::awaitable<bool> wait_until_ready(std::size_t number,
                                                                base::clock::duration limit);
    /// Returns the number of the daemon whose leader key is in the store.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] bool is_registered(std::size_t number) const;
    [[nodiscard]] std::string peer_address(std::size_t number) const;
    [[nodiscard]] pid_t process_of(std::size_t number) const { return daemons_.at(number).process_; }
    [[nodiscard]] base::endpoint client_address(std::size_t number) const;

    /// Runs a client until the process ends: writes growing values to a key, or reads it.
    void run_client(std::size_t daemon, std::string service, std::string key, bool is_writer,
                    base::clock::duration pause);

    /// Returns the id of the database that leads a service.
    [[nodiscard]] std::string primary_of(const std::string& service) const;
    /// Makes a database report that it drains. It goes on for `bounds.drain-ms` and `longer` after the store
    /// has accepted that, then ends, and a new one takes its log and address.
    void drain(const std::string& id, base::clock::duration longer);
    /// Returns when the store accepted that a database drains; empty before that.
    [[nodiscard]] std::optional<base::clock::time_point> draining_since(const std::string& id) const;
    /// Returns the statements of clients that a database ran, also after its end.
    [[nodiscard]] std::vector<stand_ins::seen_statement> statements_at(const std::string& id) const;

    void note(const std::string& text);
    void write_operations();
    [[nodiscard]] static std::string time_text(base::clock::time_point moment);

    [[nodiscard]] const std::vector<promotion_call>& promotions() const noexcept { return promotions_; }
    [[nodiscard]] const std::vector<operation>& operations() const noexcept { return operations_; }
    /// Returns the values that a promotion rolled back, by key.
    [[nodiscard]] std::set<std::pair<std::string, std::string>> rolled_back() const;
    [[nodiscard]] review::store& platform_store() noexcept { return *store_; }
    /// Returns the way of the daemons to the promotion calls.
    [[nodiscard]] review::gate& promotion_gate() noexcept { return *gate_; }

    static constexpr base::clock::duration drain_time{7'000};
    /// The `memory-mb` of machines that are added from now on.
    std::uint64_t memory_mb_ = 390;
    /// When the promotion of a database last took effect.
    std::optional<base::clock::time_point> last_effect_;

private:
    struct database {
        std::shared_ptr<stand_ins::line_database> server_;
        std::uint16_t port_ = 0;
        std::string id_;
        std::uint64_t born_ = 1;
        std::uint64_t sequence_ = 0;
        bool is_draining_ = false;
        bool has_ended_ = false;
        std::optional<base::clock::time_point> draining_since_;
        base::clock::duration longer_{0};
        base::clock::time_point next_beat_{};
        std::optional<base::clock::time_point> reaches_leader_since_;
    };
    struct order {
        std::string id_;
        base::clock::time_point effective_at_{};
    };
    struct service {
        std::string name_;
        std::vector<database> databases_;
        std::vector<database> ended_;
        std::size_t leader_ = 0;
        std::uint64_t term_ = 1;
        std::vector<order> orders_;
    };
    struct daemon {
        std::string name_;
        std::uint16_t first_port_ = 0;
        pid_t process_ = 0;
        /// A process that has ended is started again after a short delay, as DEPLOY.md says.
        std::optional<base::clock::time_point> restart_at_;
    };
    struct promotion_handler {
        fleet* fleet_;
        boost::asio::awaitable<http::response> operator()(http::request message,
                                                          std::size_t connection) const;
    };

    boost::asio::awaitable<void> run_databases();
    void restart_ended(base::clock::time_point now);
    void step(service& one, base::clock::time_point now);
    void list(service& one, database& listed, base::clock::time_point now);
    void replace(service& one, database& ended);
    unsigned promote(const std::string& name, const std::string& id);
    boost::asio::awaitable<void> client(std::size_t daemon, std::string service, std::string key,
                                        bool is_writer, base::clock::duration pause);
    void start_daemon(std::size_t number);
    [[nodiscard]] bool has_ended(std::size_t number);
    [[nodiscard]] const database* find(const std::string& id) const;

    boost::asio::io_context& context_;
    std::string root_;
    std::string folder_;
    std::ofstream record_;
    std::uint16_t last_port_;
    std::uint16_t store_port_ = 0;
    std::uint16_t promotion_port_ = 0;
    std::shared_ptr<review::store> store_;
    std::unique_ptr<review::gate> gate_;
    std::vector<service> services_;
    std::vector<daemon> daemons_;
    std::vector<promotion_call> promotions_;
    std::vector<operation> operations_;
    std::uint64_t last_value_ = 0;
    std::uint64_t last_id_ = 0;
};

} // namespace review
