#pragma once

#include <base/clock.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace soak {

/// What a client was told about a write.
enum class write_outcome : std::uint8_t {
    acknowledged,
    /// Nothing is kept, or the client never asked for the commit.
    refused,
    unknown,
};

/// A write as its client saw it. Values are unique in a run.
struct write_record {
    std::string service_;
    std::string id_;
    std::string key_;
    std::string value_;
    /// The client's session.
    std::uint64_t session_ = 0;
    write_outcome outcome_ = write_outcome::unknown;
    base::clock::time_point answered_at_{};

    friend auto operator<=>(const write_record&, const write_record&) = default;
};

/// A read that succeeded, as its client saw it.
struct read_record {
    std::string service_;
    std::string id_;
    std::string key_;
    /// The value that it saw; `-` for none.
    std::string value_;
    std::uint64_t session_ = 0;
    base::clock::time_point began_at_{};
    /// How old what it sees may be.
    base::clock::duration staleness_{0};
    /// Whether it has to see all writes that were acknowledged in its session.
    bool sees_own_writes_ = false;

    friend auto operator<=>(const read_record&, const read_record&) = default;
};

/// A statement as its client sent it.
struct sent_statement {
    std::string text_;
    /// The values that were acknowledged to its session before it was sent.
    std::map<std::string, std::string> values_;
    /// For an `EXECUTE`: effect and shape that were acknowledged under its name; empty for none.
    std::string prepared_;
    /// Code and text of the error that it was answered with; empty for none.
    std::string error_;
    /// The API key of its session.
    std::string key_;
    std::uint32_t daemon_ = 0;
    base::clock::time_point sent_at_{};

    friend auto operator<=>(const sent_statement&, const sent_statement&) = default;
};

/// A session or statement that was refused because no tenant holds its key.
struct key_refusal {
    std::string key_;
    std::uint32_t daemon_ = 0;
    base::clock::time_point sent_at_{};
    base::clock::time_point answered_at_{};

    friend auto operator<=>(const key_refusal&, const key_refusal&) = default;
};

/// All statements of the clients, by their ids.
using sent_statements = std::unordered_map<std::string, sent_statement>;

/// All that the clients of a run sent and saw.
struct client_history {
    sent_statements sent_;
    std::vector<write_record> writes_;
    std::vector<read_record> reads_;
    std::vector<key_refusal> key_refusals_;
    /// Answers that belong to another statement or session, in words.
    std::vector<std::string> mixed_answers_;
};

} // namespace soak
