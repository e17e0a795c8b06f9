#pragma once

#include <backends/group_view.hpp>

#include <base/clock.hpp>
#include <base/log_position.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace backends {

/// The reason for which a response left the gate.
enum class gate_result : std::uint8_t {
    /// A majority holds its position: it may be sent to the caller.
    released,
    /// A newer primary exists: the outcome of the request is unknown and has to be settled.
    term_changed,
    /// The deadline passed before a majority held the position.
    timed_out,
};

/// A primary's response that waits until a majority holds its position.
struct pending_response {
    std::uint64_t id_ = 0;
    base::log_position position_;
    base::clock::time_point deadline_{};

    friend auto operator<=>(const pending_response&, const pending_response&) = default;
};

/// The gate's decision about one response.
struct gate_decision {
    std::uint64_t id_ = 0;
    gate_result result_ = gate_result::timed_out;

    friend auto operator<=>(const gate_decision&, const gate_decision&) = default;
};

/// Delays every response of a primary until a majority of the group holds its position in its term.
/// Thread safety: immutable value.
class acknowledgement_gate {
public:
    struct step;

    /// Adds a response. Precondition: no pending response has the same id.
    [[nodiscard]] acknowledgement_gate record_response(pending_response response) const;

    /// Removes a response whose caller no longer waits.
    [[nodiscard]] acknowledgement_gate remove_response(std::uint64_t id) const;

    /// Decides which responses leave the gate, from the view of the group at `now`.
    [[nodiscard]] step advance(const group_view& view, base::clock::time_point now) const;

    /// Returns the smallest position of `term` beyond `known` that a response waits for; empty when there is
    /// none.
    [[nodiscard]] std::optional<base::log_position>
    min_pending_position(std::uint64_t term, base::log_position known) const noexcept;

    [[nodiscard]] bool is_empty() const noexcept { return pending_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return pending_.size(); }

    friend auto operator<=>(const acknowledgement_gate&, const acknowledgement_gate&) = default;

private:
    std::vector<pending_response> pending_;
};

/// The gate after a decision, and the responses that left it.
struct acknowledgement_gate::step {
    acknowledgement_gate gate_;
    std::vector<gate_decision> decisions_;

    friend auto operator<=>(const step&, const step&) = default;
};

} // namespace backends
