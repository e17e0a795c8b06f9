#pragma once

#include <backends/request_queue.hpp>
#include <base/clock.hpp>
#include <operators/service_declaration.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Simulates arrivals at a queue that serves a number of slots, in steps of 1 ms.
namespace simulation {

inline constexpr std::array rank_names{"urgent", "normal", "low", "bulk"};
inline constexpr std::array<std::uint32_t, 4> least_shares{40, 25, 10, 5};
inline constexpr int max_statement_ms = 20;
inline constexpr int window_ms = 1'000;

inline operators::service_declaration declare(std::uint32_t slots, std::uint32_t items = 400) {
    operators::service_declaration_fields fields;
    fields.name_ = "ledger";
    fields.slots_ = slots;
    fields.queue_items_ = items;
    fields.queue_bytes_ = std::uint64_t{items} * 100;
    for (std::size_t rank = 0; rank < rank_names.size(); ++rank) {
        fields.ranks_.push_back(operators::rank_declaration{.name_ = rank_names[rank],
                                                            .least_share_percent_ = least_shares[rank],
                                                            .weight_ = 4 - static_cast<std::uint32_t>(rank)});
    }
    return fields;
}

/// Arrivals of one rank at a constant rate during an interval of the run.
struct burst {
    std::size_t rank_ = 0;
    int begin_ms_ = 0;
    int end_ms_ = 0;
    int items_per_ms_ = 1;
    int tenants_ = 1;
};

/// Whether one rank had waiting items, and how many were running, in each ms of a run.
struct rank_history {
    std::vector<bool> waiting_;
    std::vector<int> running_;
};

struct run_settings {
    std::uint32_t slots_ = 2;
    std::uint32_t seed_ = 1;
    int length_ms_ = 3'000;
    base::clock::duration deadline_{20'000};
};

template <backends::request_queue Queue>
std::vector<rank_history> run(Queue& queue, const run_settings& settings, const std::vector<burst>& bursts) {
    struct statement {
        std::size_t rank_;
        int length_ms_;
    };
    std::mt19937 random{settings.seed_};
    std::uniform_int_distribution<int> length{1, max_statement_ms};
    std::map<std::uint64_t, statement> waiting;
    std::map<std::uint64_t, std::pair<std::size_t, int>> running;
    std::vector<rank_history> history(rank_names.size());
    std::uint64_t last_id = 0;
    for (int ms = 0; ms < settings.length_ms_; ++ms) {
        const base::clock::time_point now{base::clock::duration{ms}};
        for (auto position = running.begin(); position != running.end();) {
            const auto& [id, ends] = *position;
            if (ends.second <= ms) {
                queue.finish(id, now);
                position = running.erase(position);
            } else {
                ++position;
            }
        }
        for (const auto& burst : bursts) {
            for (int item = 0; ms >= burst.begin_ms_ && ms < burst.end_ms_ && item < burst.items_per_ms_;
                 ++item) {
                const auto id = ++last_id;
                const auto tenant = "t" + std::to_string(id % static_cast<std::uint64_t>(burst.tenants_));
                const backends::queue_item offered{backends::queue_item_fields{
                    id, rank_names[burst.rank_], tenant, 10, now + settings.deadline_}};
                const auto outcome = queue.offer(offered, now);
                for (const auto& displaced : outcome->displaced_) {
                    waiting.erase(displaced->id_);
                }
                if (!outcome->refused_) {
                    waiting.emplace(id, statement{burst.rank_, length(random)});
                }
            }
        }
        for (const auto id : queue.next(now, settings.slots_ - static_cast<std::uint32_t>(running.size()))) {
            const auto started = waiting.at(id);
            waiting.erase(id);
            running.emplace(id, std::pair{started.rank_, ms + started.length_ms_});
        }
        for (const auto& late : queue.expire(now)) {
            waiting.erase(late->id_);
        }
        for (std::size_t rank = 0; rank < history.size(); ++rank) {
            const auto of_rank = [rank](const auto& item) {
                return item.second.rank_ == rank;
            };
            history[rank].waiting_.push_back(std::any_of(waiting.begin(), waiting.end(), of_rank));
            history[rank].running_.push_back(
                static_cast<int>(std::count_if(running.begin(), running.end(), [rank](const auto& item) {
                    return item.second.first == rank;
                })));
        }
    }
    return history;
}

/// Returns whether every rank received the least share that `admission_queue` guarantees, in each window
/// throughout which it had items waiting.
inline bool keeps_least_shares(const std::vector<rank_history>& history, std::uint32_t slots,
                               base::clock::duration urgent_burst) {
    for (std::size_t rank = 0; rank < history.size(); ++rank) {
        const double ranks = static_cast<double>(history.size());
        const double counted_ms =
            window_ms - static_cast<double>(urgent_burst.count()) - (ranks + 1) * max_statement_ms;
        const double guaranteed =
            least_shares[rank] / 100.0 * slots * counted_ms - (slots + 1.0) * max_statement_ms;
        int waited = 0;
        int used = 0;
        for (std::size_t ms = 0; ms < history[rank].waiting_.size(); ++ms) {
            waited = history[rank].waiting_[ms] ? waited + 1 : 0;
            used += history[rank].running_[ms];
            used -= ms >= window_ms ? history[rank].running_[ms - window_ms] : 0;
            if (waited >= window_ms && used < guaranteed) {
                return false;
            }
        }
    }
    return true;
}

} // namespace simulation
