#pragma once

#include <backends/acknowledgement_gate.hpp>
#include <backends/freshness_rounds.hpp>
#include <backends/group_view.hpp>
#include <backends/outcome_decision.hpp>
#include <backends/takeover.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A simulation of a database group, its owners and a network that loses, duplicates, delays and reorders
/// messages. The owners run the library's decisions; the model checks the responses that callers receive.
namespace group_model {

/// When a primary's response is sent to the caller. Only `majority` is correct.
enum class gate_rule : std::uint8_t { majority, primary_alone, any_term };
/// Whether a fresh read waits for a freshness round. Only `round` is correct.
enum class read_rule : std::uint8_t { round, none };
/// How a lost response is handled. Only `decide` is correct.
enum class outcome_rule : std::uint8_t { decide, guess_not_run, repeat_under_new_key };

struct rules {
    std::size_t databases_ = 3;
    gate_rule gate_ = gate_rule::majority;
    read_rule read_ = read_rule::round;
    outcome_rule outcome_ = outcome_rule::decide;
};

/// A log entry: a write, the cancellation of a key, or the start of a term (key 0).
struct entry {
    std::uint64_t term_ = 0;
    int key_ = 0;
    bool cancels_ = false;
};

struct database {
    std::uint64_t term_ = 0;
    std::string proposer_;
    bool is_primary_ = false;
    bool is_leaving_ = false;
    std::vector<entry> log_;

    [[nodiscard]] base::log_position last() const;
    [[nodiscard]] const entry* find(int key) const;
    bool raise(std::uint64_t term, const std::string& proposer);
    bool promote(std::uint64_t term, const std::string& proposer);
    /// Replaces the log with the primary's, including entries that the primary does not have.
    void replicate(std::uint64_t term, const std::vector<entry>& log);
};

/// A request that an owner serves. Its deadline ensures that it ends in every run.
struct served_request {
    int key_ = 0;
    bool is_read_ = false;
    bool is_repeat_ = false;
    bool settles_ = false;
    backends::earlier_attempts earlier_ = backends::earlier_attempts::none_ran;
    std::uint64_t attempt_ = 0;
    base::clock::time_point sent_at_{};
    base::clock::time_point deadline_{};
    bool waits_at_gate_ = false;
    bool cancelled_ = false;
    bool confirmed_ = false;
    bool released_ = false;
    base::log_position position_;
    std::optional<std::set<int>> observed_keys_;
    /// The number of acknowledged writes at the time the read arrived.
    std::size_t acknowledged_before_ = 0;
};

struct owner {
    /// Its index among the nodes of the network; databases come first.
    std::size_t node_ = 0;
    std::uint64_t last_used_term_ = 0;
    std::string name_;
    backends::group_view view_;
    backends::acknowledgement_gate gate_;
    std::optional<backends::takeover> takeover_;
    std::optional<backends::freshness_rounds> rounds_;
    std::map<std::uint64_t, served_request> requests_;
};

/// One simulation run. `violations` is empty when every guarantee held.
class simulation {
public:
    simulation(rules used, std::uint32_t seed);

    /// Runs `steps` random steps, then lets the group recover and checks the log of the last primary.
    void run(int steps);

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::size_t acknowledged() const noexcept { return acknowledged_.size(); }
    [[nodiscard]] std::size_t reported_not_run() const noexcept { return not_run_.size(); }
    [[nodiscard]] std::size_t promotions() const noexcept { return promoted_.size(); }
    [[nodiscard]] std::size_t confirmed_reads() const noexcept { return confirmed_reads_; }

private:
    using event = std::function<void()>;
    /// Statements use a TCP connection, which delivers a request and its response at most once.
    enum class delivery : std::uint8_t { repeatable, at_most_once };

    [[nodiscard]] bool chance(int percent);
    [[nodiscard]] std::size_t pick(std::size_t count);
    void send(std::size_t node, std::size_t database, event action, delivery kind = delivery::repeatable);
    void deliver_one();
    void step();
    void tick(owner& self);
    void send_status_request(owner& self, std::size_t index, std::optional<std::uint64_t> round);
    void send_takeover_request(owner& self, std::size_t index, const backends::takeover_request& request);
    void replicate(std::size_t from);
    void start_request(owner& self);
    void start_attempt(owner& self, std::uint64_t id);
    void send_attempt(owner& self, std::uint64_t id, std::size_t index, std::uint64_t term);
    void record_done(owner& self, std::uint64_t id, base::log_position position, std::set<int> seen);
    void finish_attempt(owner& self, std::uint64_t id, backends::attempt_end end,
                        std::optional<backends::refusal> refusal = {});
    void report_outcome(served_request request, backends::next_step next);
    void release(owner& self);
    void apply_freshness_step(owner& self, backends::freshness_rounds::step next);
    void release_read(owner& self, std::uint64_t id);
    void record_promotion_of(std::size_t index);
    void check_surviving_log();
    [[nodiscard]] bool may_release(const owner& self, base::log_position position) const;
    [[nodiscard]] std::size_t index_of(const std::string& name) const;

    rules rules_;
    std::mt19937 random_;
    base::clock::time_point now_{base::clock::duration{1'000}};
    std::vector<database> databases_;
    /// The side of the network partition that each node is on.
    std::vector<int> sides_;
    std::vector<owner> owners_;
    struct message {
        std::size_t node_;
        std::size_t database_;
        event action_;
        delivery kind_;
    };
    std::vector<message> network_;
    /// How frequent faults are in this run, from 0 to 3.
    int fault_intensity_ = 0;
    int read_percent_ = 0;
    bool is_recovering_ = false;
    std::uint64_t last_id_ = 0;
    int last_key_ = 0;
    std::vector<int> unknown_;
    std::vector<int> acknowledged_;
    std::set<int> not_run_;
    std::map<int, int> key_of_action_;
    std::map<std::uint64_t, std::size_t> promoted_;
    std::size_t confirmed_reads_ = 0;
    std::vector<std::string> violations_;
};

} // namespace group_model
