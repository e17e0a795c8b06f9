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

/// A small model of a database group, its homes and a network that loses, repeats, delays and reorders
/// messages. The homes run the library's decisions; the model checks what callers are told.
namespace group_model {

/// When an answer of a primary goes to the caller. Only `majority` is right.
enum class gate_rule : std::uint8_t { majority, primary_alone, any_term };
/// Whether a fresh read waits for a round of confirmations. Only `round` is right.
enum class read_rule : std::uint8_t { round, none };
/// What follows a lost answer. Only `decide` is right.
enum class outcome_rule : std::uint8_t { decide, guess_not_run, repeat_under_new_key };

struct rules {
    std::size_t databases_ = 3;
    gate_rule gate_ = gate_rule::majority;
    read_rule read_ = read_rule::round;
    outcome_rule outcome_ = outcome_rule::decide;
};

/// One entry of a log: a write or the cancellation of a key; key 0 starts a term.
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
    /// Takes the primary's log; replaces entries of its own that the primary does not have.
    void replicate(std::uint64_t term, const std::vector<entry>& log);
};

/// A request that a home serves. The time limit makes it end in every run.
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
    std::optional<std::set<int>> seen_;
    /// How many writes had been acknowledged when the read arrived.
    std::size_t acknowledged_before_ = 0;
};

struct owner {
    /// Its place among the nodes of the network; databases come first.
    std::size_t node_ = 0;
    std::uint64_t last_used_term_ = 0;
    std::string name_;
    backends::group_view view_;
    backends::acknowledgement_gate gate_;
    std::optional<backends::takeover> takeover_;
    std::optional<backends::freshness_rounds> rounds_;
    std::map<std::uint64_t, served_request> requests_;
};

/// One run. `violations` is empty when every promise held.
class simulation {
public:
    simulation(rules used, std::uint32_t seed);

    /// Runs `steps` random steps, then lets the group recover and checks the surviving log.
    void run(int steps);

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::size_t acknowledged() const noexcept { return acknowledged_.size(); }
    [[nodiscard]] std::size_t told_not_run() const noexcept { return not_run_.size(); }
    [[nodiscard]] std::size_t promotions() const noexcept { return promoted_.size(); }
    [[nodiscard]] std::size_t confirmed_reads() const noexcept { return confirmed_reads_; }

private:
    using event = std::function<void()>;
    /// Statements travel on a TCP connection, which delivers a request once and answers it once.
    enum class delivery : std::uint8_t { repeatable, at_most_once };

    [[nodiscard]] bool chance(int percent);
    [[nodiscard]] std::size_t pick(std::size_t count);
    void send(std::size_t node, std::size_t database, event action, delivery kind = delivery::repeatable);
    void deliver_one();
    void step();
    void tick(owner& self);
    void ask_status(owner& self, std::size_t index, std::optional<std::uint64_t> round);
    void ask_step(owner& self, std::size_t index, const backends::takeover_request& request);
    void replicate(std::size_t from);
    void start_request(owner& self);
    void start_attempt(owner& self, std::uint64_t id);
    void send_attempt(owner& self, std::uint64_t id, std::size_t index, std::uint64_t term);
    void take_done(owner& self, std::uint64_t id, base::log_position position, std::set<int> seen);
    void finish_attempt(owner& self, std::uint64_t id, backends::attempt_end end,
                        std::optional<backends::refusal> refusal = {});
    void tell(served_request request, backends::next_step next);
    void release(owner& self);
    void check_rounds(owner& self, backends::freshness_rounds::step next);
    void release_read(owner& self, std::uint64_t id);
    void note_promotion(std::size_t index);
    void check_survivors();
    [[nodiscard]] bool may_release(const owner& self, base::log_position position) const;
    [[nodiscard]] std::size_t index_of(const std::string& name) const;

    rules rules_;
    std::mt19937 random_;
    base::clock::time_point now_{base::clock::duration{1'000}};
    std::vector<database> databases_;
    /// The side of the partition on which each node is.
    std::vector<int> sides_;
    std::vector<owner> owners_;
    struct message {
        std::size_t node_;
        std::size_t database_;
        event action_;
        delivery kind_;
    };
    std::vector<message> network_;
    /// How restless the run is, from 0 to 3.
    int turmoil_ = 0;
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
