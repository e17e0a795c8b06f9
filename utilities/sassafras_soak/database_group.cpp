#include <utilities/sassafras_soak/database_group.hpp>

#include <http/sleep.hpp>

#include <utility>

namespace soak {

namespace {

constexpr std::size_t database_count = 3;
constexpr base::clock::duration usual_lag{20};
constexpr base::clock::duration step_period{5};
constexpr base::clock::duration heartbeat{400};
constexpr base::clock::duration promotion_delay{300};
// A replaced primary goes on for this long after it reaches the database that leads now.
constexpr base::clock::duration demotion_delay{1'000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

} // namespace

database_group::database_group(boost::asio::any_io_executor executor, std::string service,
                               std::uint16_t first_port, stand_ins::store_server& store)
    : executor_{std::move(executor)}, service_{std::move(service)}, store_{store}, lag_{usual_lag} {
    for (std::size_t number = 0; number < database_count; ++number) {
        member one;
        one.port_ = static_cast<std::uint16_t>(first_port + 2 * number);
        one.database_ = std::make_shared<stand_ins::line_database>(executor_, service_,
                                                                   service_ + "-" + std::to_string(number));
        one.database_->set_primary(number == leader_, term_);
        one.link_ = std::make_shared<stand_ins::fault_link>(
            executor_, base::endpoint{"127.0.0.1", static_cast<std::uint16_t>(one.port_ + 1)});
        members_.push_back(std::move(one));
    }
}

bool database_group::start() {
    for (auto& one : members_) {
        const base::endpoint own{"127.0.0.1", static_cast<std::uint16_t>(one.port_ + 1)};
        if (!one.link_->listen({"127.0.0.1", one.port_}) || !one.database_->listen(own)) {
            return false;
        }
    }
    return true;
}

boost::asio::awaitable<void> database_group::run() {
    for (;;) {
        step(base::clock::now());
        co_await http::sleep_for(step_period);
    }
}

unsigned database_group::order(const std::string& id) {
    if (members_.at(leader_).database_->id() == id) {
        return status_ok;
    }
    for (std::size_t number = 0; number < members_.size(); ++number) {
        if (members_[number].database_->id() == id && !members_[number].down_until_ && !order_) {
            order_ = pending_order{number, base::clock::now() + promotion_delay};
            return status_ok;
        }
    }
    return status_conflict;
}

void database_group::crash(std::size_t number, base::clock::duration length) {
    auto& one = members_.at(number);
    if (!one.down_until_) {
        one.database_->crash();
        one.link_->close_connections();
        one.down_until_ = base::clock::now() + length;
    }
}

void database_group::isolate(std::size_t number, base::clock::duration length) {
    members_.at(number).isolated_until_ = base::clock::now() + length;
}

void database_group::leave(std::size_t number, base::clock::duration length) {
    members_.at(number).leaves_at_ = base::clock::now() + length;
    list(number);
}

void database_group::step(base::clock::time_point now) {
    if (order_ && now >= order_->effective_at_) {
        const auto due = *std::exchange(order_, std::nullopt);
        take_effect(due, now);
    }
    for (std::size_t number = 0; number < members_.size(); ++number) {
        auto& one = members_[number];
        if (one.leaves_at_ && now >= *one.leaves_at_) {
            one.leaves_at_.reset();
            crash(number, heartbeat);
        }
        return_if_due(one, now);
        replicate(number, now);
    }
    if (now >= next_listing_) {
        next_listing_ = now + heartbeat;
        ++sequence_;
        for (std::size_t number = 0; number < members_.size(); ++number) {
            list(number);
        }
    }
}

void database_group::return_if_due(member& one, base::clock::time_point now) {
    if (one.isolated_until_ && now >= *one.isolated_until_) {
        one.isolated_until_.reset();
    }
    const base::endpoint own{"127.0.0.1", static_cast<std::uint16_t>(one.port_ + 1)};
    if (one.down_until_ && now >= *one.down_until_ && one.database_->listen(own)) {
        one.down_until_.reset();
        ++one.starts_;
        if (members_.at(leader_).database_ != one.database_) {
            one.database_->set_primary(false, one.database_->term());
        }
    }
}

void database_group::replicate(std::size_t number, base::clock::time_point now) {
    auto& one = members_[number];
    const auto& leader = members_[leader_];
    if (number == leader_ || !hears(one) || !hears(leader)) {
        one.reaches_leader_since_.reset();
        return;
    }
    if (one.database_->is_primary()) {
        const auto since = one.reaches_leader_since_.value_or(now);
        one.reaches_leader_since_ = since;
        if (now - since < demotion_delay) {
            return;
        }
        one.database_->set_primary(false, one.database_->term());
    }
    one.database_->follow(*leader.database_, now - lag_);
}

void database_group::take_effect(const pending_order& order, base::clock::time_point now) {
    auto& chosen = members_.at(order.number_);
    if (chosen.down_until_) {
        return;
    }
    ++term_;
    leader_ = order.number_;
    chosen.database_->set_primary(true, term_);
    promotions_.push_back({term_, now});
    list(order.number_);
}

void database_group::list(std::size_t number) {
    const auto& one = members_.at(number);
    const auto key = "servers/" + one.database_->id();
    if (one.down_until_) {
        if (!store_.value_of(key).empty()) {
            store_.remove(key);
        }
        return;
    }
    store_.put(key, R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" + std::to_string(one.port_) +
                        R"(","zone":"a","version":"v1","slots":8,"cold-remaining-ms":0,"born":)" +
                        std::to_string(one.starts_) + R"(,"sequence":)" + std::to_string(sequence_) +
                        R"(,"state":")" + (one.leaves_at_ ? "draining" : "ready") + R"(","db-role":")" +
                        (one.database_->is_primary() ? "primary" : "replica") + R"("})");
}

service_log database_group::log() const {
    service_log log;
    log.kept_ = members_.at(leader_).database_->log();
    log.promotions_ = promotions_;
    for (const auto& one : members_) {
        const auto& rolled_back = one.database_->rolled_back();
        log.rolled_back_.insert(log.rolled_back_.end(), rolled_back.begin(), rolled_back.end());
    }
    return log;
}

} // namespace soak
