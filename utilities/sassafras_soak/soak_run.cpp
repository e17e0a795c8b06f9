#include <utilities/sassafras_soak/soak_run.hpp>

#include <http/line_socket.hpp>
#include <http/sleep.hpp>
#include <utilities/sassafras_soak/statement_check.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <ostream>
#include <string>
#include <utility>

namespace soak {

namespace asio = boost::asio;
using stand_ins::link_fault;

namespace {

// Offsets from the first port of a run.
constexpr std::uint16_t store_offset = 0;
constexpr std::uint16_t daemon_offset = 10;
constexpr std::uint16_t ports_of_daemon = 5;
constexpr std::uint16_t group_offset = 60;
constexpr std::uint16_t ports_of_group = 8;
constexpr base::clock::duration keep_running_period{150};
constexpr base::clock::duration warm_up{2'500};
// The last faults, lapsed evidence and a takeover beside a silent daemon are over by then; the bounds are
// those of docs/platform-design.md: 14.8 s until a daemon that has just registered may replace a primary
// alone, and 3 s for its order.
constexpr base::clock::duration recovery_limit{20'000};
constexpr base::clock::duration recovery_poll{100};
constexpr base::clock::duration call_limit{2'000};
constexpr base::clock::duration client_end_limit{12'000};
constexpr base::clock::duration settling{1'500};
constexpr base::clock::duration long_lag{2'500};
constexpr base::clock::duration usual_lag{20};
constexpr base::clock::duration copy_interval{200};
constexpr base::clock::duration pause_between_stops{600};
constexpr std::size_t max_line_bytes = 65'536;

// Held by the first tenant throughout; the probes after the faults present it.
constexpr const char* steady_key = "steady-key";
constexpr std::uint32_t changing_keys = 6;
// The limit of `check_tenants`, and some traffic after it.
constexpr base::clock::duration traffic_after_key_changes{7'000};
// The name that daemons give to databases on connections that belong to no tenant.
constexpr const char* daemon_name = "sassafrasdeal";

std::string tenant_name(std::uint32_t number) {
    return "tenant" + std::to_string(number);
}

std::string key_name(std::uint32_t number) {
    return "key-" + std::to_string(number);
}

std::string service_name(std::size_t number) {
    return "svc" + std::to_string(number);
}

} // namespace

soak_run::soak_run(soak_settings settings) : settings_{std::move(settings)} {
    plan_.clients_ = settings_.clients_;
    plan_.seed_ = settings_.seed_;
}

std::vector<std::string> soak_run::play(std::ostream& progress) {
    if (!start_all()) {
        return {"a port of the run is taken"};
    }
    asio::co_spawn(context_, conduct(progress), asio::detached);
    context_.run();
    clients_.clear();
    daemons_.clear();
    auto broken = broken_;
    std::vector<stand_ins::seen_statement> ran;
    const auto add = [&broken](const std::vector<std::string>& more) {
        broken.insert(broken.end(), more.begin(), more.end());
    };
    for (const auto& group : groups_) {
        for (std::size_t number = 0; number < group->size(); ++number) {
            const auto& database = group->database(number);
            add(check_statements(history_.sent_, database.id(), database.seen(), database.refused()));
            ran.insert(ran.end(), database.seen().begin(), database.seen().end());
        }
    }
    add(check_prepared_names(history_.sent_));
    if (settings_.tenants_ > 0) {
        add(check_tenants(history_, keys_, ran));
    }
    add(check_history(history_, logs()));
    return broken;
}

bool soak_run::start_all() {
    const auto port = [this](std::size_t offset) {
        return static_cast<std::uint16_t>(settings_.first_port_ + offset);
    };
    const auto order = [this](const std::string& service, const std::string& id) -> unsigned {
        for (std::size_t number = 0; number < groups_.size(); ++number) {
            if (service_name(number) == service) {
                return groups_[number]->order(id);
            }
        }
        constexpr unsigned not_found = 404;
        return not_found;
    };
    store_ = std::make_unique<stand_ins::store_server>(context_.get_executor(), order);
    store_->set_ending_leases(true);
    store_->state_era(first_era);
    if (!store_->listen({"127.0.0.1", port(store_offset)})) {
        return false;
    }
    for (std::size_t number = 0; number < settings_.services_; ++number) {
        const auto service = service_name(number);
        groups_.push_back(std::make_unique<database_group>(
            context_.get_executor(), service, port(group_offset + number * ports_of_group), *store_));
        if (!groups_.back()->start()) {
            return false;
        }
        asio::co_spawn(context_, groups_.back()->run(), asio::detached);
        plan_.routes_.push_back({service, "primary" + service, base::clock::duration{0}, false});
        plan_.routes_.push_back({service, "stale" + service, base::clock::duration{1'500}, false});
        plan_.routes_.push_back({service, "own" + service, base::clock::duration{2'500}, true});
    }
    if (settings_.tenants_ > 0) {
        set_holder(steady_key, 0);
        for (std::uint32_t number = 0; number < changing_keys; ++number) {
            plan_.keys_.push_back(key_name(number));
            set_holder(plan_.keys_.back(), number % settings_.tenants_);
        }
        plan_.keys_.emplace_back("key-of-nobody");
    }
    publish_configuration();
    start_daemons();
    return store_links_.size() == settings_.daemons_;
}

void soak_run::start_daemons() {
    for (std::size_t number = 0; number < settings_.daemons_; ++number) {
        const auto first =
            static_cast<std::uint16_t>(settings_.first_port_ + daemon_offset + number * ports_of_daemon);
        const daemon_addresses addresses{
            "entry" + std::to_string(number),      first,
            static_cast<std::uint16_t>(first + 1), static_cast<std::uint16_t>(first + 2),
            static_cast<std::uint16_t>(first + 3), static_cast<std::uint16_t>(first + 4)};
        auto link = std::make_shared<stand_ins::fault_link>(
            context_.get_executor(),
            base::endpoint{"127.0.0.1", static_cast<std::uint16_t>(settings_.first_port_ + store_offset)});
        if (!link->listen({"127.0.0.1", addresses.store_})) {
            return;
        }
        store_links_.push_back(std::move(link));
        daemons_.push_back(
            std::make_unique<daemon_process>(settings_.program_, settings_.folder_, addresses));
        plan_.ports_.push_back(addresses.clients_);
    }
}

void soak_run::publish_configuration() {
    std::string routes;
    std::string services;
    for (const auto& route : plan_.routes_) {
        const bool is_primary = route.staleness_ == base::clock::duration{0};
        const auto* type =
            is_primary ? "primary" : (route.sees_own_writes_ ? "read_your_writes" : "bounded_staleness");
        routes += std::string{routes.empty() ? "" : ","} + R"({"name":"r)" + route.database_ +
                  R"(","database-name":")" + route.database_ + R"(","type":")" + type +
                  R"(","timeout-ms":1500,"target-latency-ms":400,"priority":0,"service":")" + route.service_ +
                  R"(","max-attempts":2,"max-staleness-ms":)" + std::to_string(route.staleness_.count()) +
                  "}";
    }
    for (std::size_t number = 0; number < settings_.services_; ++number) {
        services += std::string{services.empty() ? "" : ","} + R"({"name":")" + service_name(number) +
                    R"(","max-connections":60,"sync-replicas":0})";
    }
    store_->put("op/config", R"({"version":)" + std::to_string(++configuration_version_) + R"(,"routes":[)" +
                                 routes + R"(],"services":[)" + services + "]" + tenants_text() +
                                 R"(,"limits":{"tx-idle-ms":1500}})");
}

std::string soak_run::tenants_text() const {
    if (settings_.tenants_ == 0) {
        return {};
    }
    std::string text;
    for (std::uint32_t number = 0; number < settings_.tenants_; ++number) {
        const auto name = tenant_name(number);
        std::string held;
        for (const auto& [key, holdings] : keys_.holdings_) {
            if (holdings.back().tenant_ == name) {
                held.append(held.empty() ? "\"" : ",\"").append(key).append("\"");
            }
        }
        // A tenant without keys is dropped.
        if (!held.empty()) {
            text.append(text.empty() ? "" : ",").append(R"({"name":")").append(name);
            text.append(R"(","api-keys":[)").append(held).append(R"(],"priority":0})");
        }
    }
    return R"(,"tenants":[)" + text + "]";
}

void soak_run::set_holder(const std::string& key, std::uint32_t tenant) {
    const auto name = tenant < settings_.tenants_ ? tenant_name(tenant) : std::string{};
    auto& holdings = keys_.holdings_[key];
    if (holdings.empty() || holdings.back().tenant_ != name) {
        holdings.push_back({name, configuration_version_ + 1, base::clock::now()});
    }
}

asio::awaitable<void> soak_run::change_keys(base::clock::time_point started_at) {
    for (const auto& change :
         make_key_changes(settings_.seed_, settings_.length_, changing_keys, settings_.tenants_)) {
        co_await http::sleep_for(started_at + change.at_ - base::clock::now());
        set_holder(key_name(change.key_), change.tenant_);
        publish_configuration();
    }
}

asio::awaitable<void> soak_run::copy_store() {
    for (;;) {
        store_->take_copy();
        co_await http::sleep_for(copy_interval);
    }
}

asio::awaitable<void> soak_run::return_store(base::clock::time_point started_at, std::ostream& progress) {
    for (const auto& one : make_store_returns(settings_.seed_, settings_.length_)) {
        co_await http::sleep_for(started_at + one.at_ - base::clock::now());
        const bool is_outage = settings_.store_absence_ == store_absence::outage;
        progress << "  " << one.at_.count() << " ms: " << (is_outage ? "store_outage" : "store_return")
                 << " after " << one.away_.count() << " ms from a copy that was " << one.age_.count()
                 << " ms old\n";
        for (std::uint32_t number = 0; number < daemons_.size(); ++number) {
            note_lost_contact(number, one.away_);
        }
        store_->set_refusing(true);
        co_await http::sleep_for(one.away_);
        if (!is_outage) {
            store_->return_to_copy(one.age_ + one.away_);
        }
        store_->set_refusing(false);
    }
}

asio::awaitable<void> soak_run::reject_daemon(base::clock::time_point started_at, std::ostream& progress) {
    const auto rejection = make_store_rejection(settings_.seed_, settings_.length_);
    if (!rejection) {
        co_return;
    }
    const auto daemon = rejection->daemon_ % daemons_.size();
    progress << "  " << rejection->at_.count() << " ms: store_rejection of entry" << daemon << " for "
             << rejection->length_.count() << " ms\n";
    co_await http::sleep_for(started_at + rejection->at_ - base::clock::now());
    store_links_.at(daemon)->set_rejecting(true);
    co_await http::sleep_for(rejection->length_);
    store_links_.at(daemon)->set_rejecting(false);
}

void soak_run::note_lost_contact(std::uint32_t daemon, base::clock::duration length) {
    const auto now = base::clock::now();
    keys_.lost_.push_back({daemon, now, now + length});
}

void soak_run::check_names_of_connections() {
    for (const auto& group : groups_) {
        for (std::size_t number = 0; number < group->size(); ++number) {
            for (const auto& name : group->database(number).started()) {
                if (name != daemon_name && !name.starts_with("tenant")) {
                    broken_.push_back(group->database(number).id() + " was given the name " + name);
                }
            }
        }
    }
}

asio::awaitable<void> soak_run::strain_databases(base::clock::time_point started_at, std::ostream& progress) {
    for (const auto& one : make_database_strains(settings_.seed_, settings_.length_)) {
        co_await http::sleep_for(started_at + one.at_ - base::clock::now());
        progress << "  " << one.at_.count() << " ms: database_strain " << static_cast<int>(one.kind_)
                 << " of " << one.target_ << " for " << one.length_.count() << " ms\n";
        asio::co_spawn(context_, strain(one), asio::detached);
    }
}

asio::awaitable<void> soak_run::strain(database_strain one) {
    auto& group = *groups_.at(one.target_ % groups_.size());
    auto& database = group.database(one.target_ / groups_.size() % group.size());
    const auto set = [&database, kind = one.kind_](const std::string& code) {
        const auto error = code.empty() ? code : "ERROR " + code + " " + database.id();
        if (kind == database_strain_kind::accept_connections) {
            database.set_start_error(error);
        } else if (kind == database_strain_kind::report_status) {
            database.set_status_error(error);
        } else {
            database.set_begin_error(error);
        }
    };
    constexpr std::array codes{"CONNLIMIT", "THROTTLED", "FAILED"};
    set(codes.at(static_cast<std::size_t>(one.kind_)));
    co_await http::sleep_for(one.length_);
    set({});
}

asio::awaitable<void> soak_run::conduct(std::ostream& progress) {
    asio::co_spawn(context_, keep_daemons_running(), asio::detached);
    asio::co_spawn(context_, copy_store(), asio::detached);
    co_await http::sleep_for(warm_up);
    for (std::uint32_t number = 0; number < settings_.clients_; ++number) {
        clients_.push_back(std::make_unique<soak_client>(plan_, number, history_));
        asio::co_spawn(context_, clients_.back()->run(), asio::detached);
    }
    const auto started_at = base::clock::now();
    if (settings_.tenants_ > 0) {
        asio::co_spawn(context_, change_keys(started_at), asio::detached);
    }
    if (settings_.store_absence_ != store_absence::none) {
        asio::co_spawn(context_, return_store(started_at, progress), asio::detached);
    }
    if (settings_.has_faults_) {
        asio::co_spawn(context_, reject_daemon(started_at, progress), asio::detached);
        asio::co_spawn(context_, strain_databases(started_at, progress), asio::detached);
    }
    const auto schedule = settings_.has_faults_ ? make_schedule(settings_.seed_, settings_.length_)
                                                : std::vector<scheduled_fault>{};
    for (const auto& fault : schedule) {
        co_await http::sleep_for(started_at + fault.at_ - base::clock::now());
        progress << "  " << fault.at_.count() << " ms: " << name_of(fault.kind_) << " " << fault.target_
                 << " for " << fault.length_.count() << " ms\n";
        asio::co_spawn(context_, strike(fault), asio::detached);
    }
    co_await http::sleep_for(started_at + settings_.length_ - base::clock::now());
    const auto faults_ended_at = base::clock::now();
    co_await check_recovery();
    if (settings_.tenants_ > 0) {
        co_await http::sleep_for(faults_ended_at + traffic_after_key_changes - base::clock::now());
    }
    co_await stop_clients();
    check_names_of_connections();
    co_await http::sleep_for(settling);
    context_.stop();
}

asio::awaitable<void> soak_run::keep_daemons_running() {
    for (;;) {
        for (const auto& one : daemons_) {
            if (!one->keep_running()) {
                broken_.push_back(one->addresses().name_ + " cannot be started");
            }
        }
        co_await http::sleep_for(keep_running_period);
    }
}

asio::awaitable<void> soak_run::strike(scheduled_fault fault) {
    const auto daemon_number = static_cast<std::uint32_t>(fault.target_ % daemons_.size());
    auto& daemon = *daemons_.at(daemon_number);
    auto& store_link = *store_links_.at(fault.target_ % store_links_.size());
    auto& group = *groups_.at(fault.target_ % groups_.size());
    auto& database_link = group.link(fault.target_ / groups_.size() % group.size());
    switch (fault.kind_) {
    case fault_kind::pause_daemon:
        note_lost_contact(daemon_number, fault.length_);
        daemon.signal(SIGSTOP);
        co_await http::sleep_for(fault.length_);
        daemon.signal(SIGCONT);
        break;
    case fault_kind::stop_all_in_turn:
        for (const auto& one : daemons_) {
            one->signal(SIGTERM);
            co_await http::sleep_for(pause_between_stops);
        }
        break;
    case fault_kind::kill_daemon:
    case fault_kind::stop_daemon:
    case fault_kind::kill_all_daemons:
        strike_daemons(fault.kind_, daemon);
        break;
    case fault_kind::lag_replicas:
        group.set_lag(long_lag);
        co_await http::sleep_for(fault.length_);
        group.set_lag(usual_lag);
        break;
    case fault_kind::lose_answers_of_primary: {
        auto& database = group.database(group.leader());
        database.set_losing_answers(true);
        co_await http::sleep_for(fault.length_);
        database.set_losing_answers(false);
        break;
    }
    case fault_kind::crash_primary:
    case fault_kind::crash_replica:
    case fault_kind::isolate_primary:
    case fault_kind::primary_leaves:
        strike_databases(fault, group);
        break;
    case fault_kind::store_refuses:
    case fault_kind::store_loses_answers:
    case fault_kind::store_forgets:
        co_await harm_store(fault.kind_, fault.length_);
        break;
    case fault_kind::change_configuration:
        publish_configuration();
        break;
    case fault_kind::delay_store_link:
        co_await harm_link(store_link, link_fault::delayed, fault.length_);
        break;
    case fault_kind::reset_store_link:
        note_lost_contact(daemon_number, fault.length_);
        co_await harm_link(store_link, link_fault::reset, fault.length_);
        break;
    case fault_kind::silence_store_link:
        note_lost_contact(daemon_number, fault.length_);
        co_await harm_link(store_link, link_fault::silent, fault.length_);
        break;
    case fault_kind::silence_store_answers:
        note_lost_contact(daemon_number, fault.length_);
        co_await harm_link(store_link, link_fault::silent_answers, fault.length_);
        break;
    case fault_kind::delay_database_link:
        co_await harm_link(database_link, link_fault::delayed, fault.length_);
        break;
    case fault_kind::reset_database_link:
        co_await harm_link(database_link, link_fault::reset, fault.length_);
        break;
    case fault_kind::silence_database_link:
        co_await harm_link(database_link, link_fault::silent, fault.length_);
        break;
    case fault_kind::silence_database_answers:
        co_await harm_link(database_link, link_fault::silent_answers, fault.length_);
        break;
    }
}

asio::awaitable<void> soak_run::harm_link(stand_ins::fault_link& link, link_fault fault,
                                          base::clock::duration length) {
    link.set_fault(fault);
    co_await http::sleep_for(length);
    link.set_fault(link_fault::none);
}

asio::awaitable<void> soak_run::harm_store(fault_kind kind, base::clock::duration length) {
    if (kind == fault_kind::store_forgets) {
        store_->forget_history();
        co_return;
    }
    if (kind == fault_kind::store_refuses) {
        for (std::uint32_t number = 0; number < daemons_.size(); ++number) {
            note_lost_contact(number, length);
        }
        store_->set_refusing(true);
        co_await http::sleep_for(length);
        store_->set_refusing(false);
        co_return;
    }
    store_->set_losing_answers(true);
    co_await http::sleep_for(length);
    store_->set_losing_answers(false);
}

void soak_run::strike_daemons(fault_kind kind, daemon_process& one) {
    if (kind == fault_kind::kill_all_daemons) {
        for (const auto& each : daemons_) {
            each->signal(SIGKILL);
        }
        return;
    }
    one.signal(kind == fault_kind::kill_daemon ? SIGKILL : SIGTERM);
}

void soak_run::strike_databases(const scheduled_fault& fault, database_group& group) {
    const auto leader = group.leader();
    switch (fault.kind_) {
    case fault_kind::crash_primary:
        group.crash(leader, fault.length_);
        break;
    case fault_kind::crash_replica:
        group.crash((leader + 1) % group.size(), fault.length_);
        break;
    case fault_kind::isolate_primary:
        group.isolate(leader, fault.length_);
        break;
    default:
        group.leave(leader, fault.length_);
    }
}

asio::awaitable<void> soak_run::check_recovery() {
    const auto end = base::clock::now() + recovery_limit;
    for (const auto& one : daemons_) {
        for (const auto& route : plan_.routes_) {
            bool is_served = false;
            while (!is_served && base::clock::now() < end) {
                auto database = route.database_;
                is_served = co_await serves(one->addresses().clients_, std::move(database));
                if (!is_served) {
                    co_await http::sleep_for(recovery_poll);
                }
            }
            if (!is_served) {
                broken_.push_back(one->addresses().name_ + " does not serve " + route.database_ +
                                  " after the faults");
            }
        }
        for (const auto& end : one->own_ends()) {
            broken_.push_back(one->addresses().name_ + " ended by itself with " + end);
        }
    }
}

asio::awaitable<bool> soak_run::serves(std::uint16_t port, std::string database) {
    http::line_socket socket{context_.get_executor()};
    base::endpoint daemon{"127.0.0.1", port};
    const bool is_connected = co_await socket.connect(std::move(daemon), call_limit, call_limit);
    if (!is_connected) {
        co_return false;
    }
    socket.expires_after(call_limit);
    const std::string id{"probe"};
    const std::string text{"FETCH k0"};
    auto& probe = history_.sent_[id];
    probe.text_ = text;
    probe.key_ = steady_key;
    auto lines = "START " + database + " " + steady_key + "\r\nQUERY " + id + " " + text + "\r\n";
    const bool is_sent = co_await socket.write(std::move(lines));
    if (!is_sent) {
        co_return false;
    }
    for (;;) {
        const auto line = co_await socket.read_line(max_line_bytes);
        if (!line || line->starts_with("ERROR ")) {
            co_return false;
        }
        if (line->starts_with("COMPLETE ")) {
            co_return true;
        }
    }
}

asio::awaitable<void> soak_run::stop_clients() {
    for (const auto& one : clients_) {
        one->stop();
    }
    const auto end = base::clock::now() + client_end_limit;
    for (const auto& one : clients_) {
        while (!one->is_done() && base::clock::now() < end) {
            co_await http::sleep_for(recovery_poll);
        }
        if (!one->is_done()) {
            broken_.emplace_back("a client got no end to its last statement");
        }
    }
}

base::clock::duration soak_run::longest_pause_of_writes() const {
    std::vector<base::clock::time_point> times;
    for (const auto& one : history_.writes_) {
        if (one.outcome_ == write_outcome::acknowledged) {
            times.push_back(one.answered_at_);
        }
    }
    std::sort(times.begin(), times.end());
    base::clock::duration longest{0};
    for (std::size_t index = 1; index < times.size(); ++index) {
        longest = std::max(longest, times[index] - times[index - 1]);
    }
    return longest;
}

std::map<std::string, service_log> soak_run::logs() const {
    std::map<std::string, service_log> all;
    for (std::size_t number = 0; number < groups_.size(); ++number) {
        all.emplace(service_name(number), groups_[number]->log());
    }
    return all;
}

} // namespace soak
