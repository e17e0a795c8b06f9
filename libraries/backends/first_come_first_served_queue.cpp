#include <backends/first_come_first_served_queue.hpp>

#include <utility>

namespace backends {

first_come_first_served_queue::first_come_first_served_queue(
    const operators::service_declaration& declaration)
    : max_items_{declaration->queue_items_}, max_bytes_{declaration->queue_bytes_} {}

offer_result first_come_first_served_queue::offer(const queue_item& item, base::clock::time_point /*now*/) {
    if (waiting_.size() >= max_items_ || bytes_ + item->bytes_ > max_bytes_) {
        return offer_result_fields{
            .refused_ = queue_refusal_fields{.id_ = item->id_,
                                             .reason_ = base::error{base::error_kind::overloaded,
                                                                    "the queue is full"},
                                             .retry_after_ = base::clock::duration{1'000}},
            .displaced_ = {}};
    }
    order_.push_back(item->id_);
    bytes_ += item->bytes_;
    waiting_.emplace(item->id_, item);
    return {};
}

void first_come_first_served_queue::drop_expired_front(base::clock::time_point now) {
    const auto found = waiting_.find(order_.front());
    if (found == waiting_.end()) {
        order_.pop_front();
        return;
    }
    if (found->second->deadline_ > now) {
        return;
    }
    expired_.emplace_back(
        queue_refusal_fields{.id_ = found->first,
                             .reason_ = base::error{base::error_kind::deadline_expired,
                                                    "the deadline passed while the request was queued"},
                             .retry_after_ = base::clock::duration{1'000}});
    bytes_ -= found->second->bytes_;
    waiting_.erase(found);
    order_.pop_front();
}

std::vector<std::uint64_t> first_come_first_served_queue::next(base::clock::time_point now,
                                                               std::uint32_t free_slots) {
    std::vector<std::uint64_t> started;
    while (started.size() < free_slots && !order_.empty()) {
        const auto before = order_.size();
        drop_expired_front(now);
        if (order_.size() != before) {
            continue;
        }
        const auto found = waiting_.find(order_.front());
        bytes_ -= found->second->bytes_;
        running_.insert(found->first);
        started.push_back(found->first);
        waiting_.erase(found);
        order_.pop_front();
    }
    return started;
}

void first_come_first_served_queue::finish(std::uint64_t id, base::clock::time_point /*now*/) {
    running_.erase(id);
}

std::vector<queue_refusal> first_come_first_served_queue::expire(base::clock::time_point now) {
    while (!order_.empty()) {
        const auto before = order_.size();
        drop_expired_front(now);
        if (order_.size() == before) {
            break;
        }
    }
    return std::exchange(expired_, {});
}

bool first_come_first_served_queue::withdraw(std::uint64_t id) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return false;
    }
    bytes_ -= found->second->bytes_;
    waiting_.erase(found);
    return true;
}

queue_load first_come_first_served_queue::load() const {
    return queue_load_fields{
        .queued_ = waiting_.size(), .running_ = running_.size(), .bytes_ = bytes_, .ranks_ = {}};
}

} // namespace backends
