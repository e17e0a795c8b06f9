#include "fleet.hh"

#include <http/line_socket.hpp>
#include <http/listener.hpp>
#include <http/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace review {

namespace asio = boost::asio;
using base::clock;

namespace {

constexpr clock::duration step_interval{10};
constexpr clock::duration heartbeat{1'200};
constexpr clock::duration usual_lag{60};
constexpr clock::duration promotion_time{400};
constexpr clock::duration work_time{9};
constexpr clock::duration reconnect_delay{50};
constexpr clock::duration demotion_delay{1'000};
constexpr clock::duration restart_delay{200};
constexpr std::uint16_t ports_of_daemon = 4;
constexpr int readable_file = 0644;
const char* const host = "127.0.0.1";

bool is_free(std::uint16_t port) {
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int handle = ::socket(AF_INET, type, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, host, &address.sin_addr);
        const bool is_bound = ::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(handle);
        if (!is_bound) {
            return false;
        }
    }
    return true;
}

std::string local(std::uint16_t port) {
    return std::string{host} + ":" + std::to_string(port);
}

void fill(std::string& text, const std::string& name, const std::string& value) {
    const auto placeholder = "{{" + name + "}}";
    for (auto found = text.find(placeholder); found != std::string::npos; found = text.find(placeholder)) {
        text.replace(found, placeholder.size(), value);
    }
}

} // namespace

fleet::fleet(asio::io_context& context, std::string root, std::string folder, const std::string& record)
    : context_{context}, root_{std::move(root)}, folder_{std::move(folder)}, record_{record},
      last_port_{static_cast<std::uint16_t>(20'000 + std::random_device{}() % 8'000)} {}

fleet::~fleet() {
    for (auto& one : daemons_) {
        if (one.process_ > 0) {
            ::kill(one.process_, SIGKILL);
            ::waitpid(one.process_, nullptr, 0);
        }
    }
}

std::uint16_t fleet::next_port() {
    do {
        ++last_port_;
    } while (!is_free(last_port_));
    return last_port_;
}

std::string fleet::time_text(clock::time_point moment) {
    static const auto start = clock::now();
    std::ostringstream text;
    text.precision(3);
    text << std::fixed << static_cast<double>((moment - start).count()) / 1'000;
    return text.str();
}

void fleet::note(const std::string& text) {
    record_ << time_text(clock::now()) << " " << text << std::endl;
    std::cout << time_text(clock::now()) << " " << text << std::endl;
}

bool fleet::start() {
    static_cast<void>(time_text(clock::now()));
    store_port_ = next_port();
    const auto promotion_server_port = next_port();
    promotion_port_ = next_port();
    store_ = std::make_shared<review::store>(context_.get_executor(), base::endpoint{host, store_port_});
    auto promotions = http::listener::open(context_.get_executor(), {host, promotion_server_port});
    if (!store_->listen() || !promotions) {
        return false;
    }
    std::make_shared<http::server<promotion_handler>>(context_.get_executor(), std::move(*promotions),
                                                      promotion_handler{this}, http::limits{}, nullptr, 100)
        ->start();
    gate_ = std::make_unique<review::gate>(context_, base::endpoint{host, promotion_port_},
                                           base::endpoint{host, promotion_server_port});
    std::string routes;
    std::string listed;
    for (const auto* name : {"huvo11a", "kafi81c", "wuno96b"}) {
        service one;
        one.name_ = name;
        for (std::size_t number = 0; number < 3; ++number) {
            database created;
            created.id_ = std::string{"i-"} + name + std::to_string(number);
            created.port_ = next_port();
            created.server_ =
                std::make_shared<stand_ins::line_database>(context_.get_executor(), one.name_, created.id_);
            created.server_->set_primary(number == 0, 1);
            created.server_->set_answer_delay(work_time);
            created.next_beat_ = clock::now() + clock::duration{static_cast<int>(number) * 370};
            if (!created.server_->listen({host, created.port_})) {
                return false;
            }
            one.databases_.push_back(std::move(created));
        }
        routes.append(routes.empty() ? "" : ",")
            .append(R"({"name":"r-)" + one.name_ + R"(","database-name":")" + one.name_ +
                    R"(db","prefix":"/",)" +
                    R"("type":"primary","timeout-ms":800,"target-latency-ms":100,"priority":0,"service":")" +
                    one.name_ + R"(","max-attempts":2})");
        listed.append(listed.empty() ? "" : ",")
            .append(R"({"name":")" + one.name_ + R"(","health-check-path":"/health","max-connections":16,)" +
                    R"("protocol":"h1","tls":false,"sync-replicas":0})");
        services_.push_back(std::move(one));
    }
    store_->put("op/config", R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + listed +
                                 R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)" +
                                 R"("header-timeout-ms":3000,"idle-timeout-ms":15000,"tx-idle-ms":3000}})");
    note("store at " + local(store_port_));
    asio::co_spawn(context_, store_->run(), asio::detached);
    asio::co_spawn(context_, run_databases(), asio::detached);
    return true;
}

std::size_t fleet::add_daemon() {
    const auto number = daemons_.size();
    daemon one;
    one.name_ = "frontend-" + std::to_string(number);
    // Clients, readiness, peers, metrics.
    for (bool is_free_range = false; !is_free_range;) {
        one.first_port_ = next_port();
        is_free_range = true;
        for (std::uint16_t offset = 1; offset < ports_of_daemon; ++offset) {
            is_free_range = next_port() == one.first_port_ + offset && is_free_range;
        }
    }
    std::ifstream file{root_ + "/deploy/settings.ini"};
    std::stringstream buffer;
    buffer << file.rdbuf();
    auto text = buffer.str();
    const auto port = [&one](int offset) {
        return std::to_string(one.first_port_ + offset);
    };
    fill(text, "node-name", one.name_);
    fill(text, "zone", "zg-centar");
    fill(text, "limits.cores", "1");
    fill(text, "listen-addresses.frontend", std::string{host} + ":" + port(0));
    fill(text, "listen-addresses.readiness", std::string{host} + ":" + port(1));
    fill(text, "ip", host);
    fill(text, "internal-ports.0", port(2));
    fill(text, "internal-ports.1", port(3));
    fill(text, "platform.address", local(store_port_));
    fill(text, "cloud-api.address", local(promotion_port_));
    fill(text, "bounds.drain-ms", std::to_string(drain_time.count()));
    fill(text, "bounds.grace-s", "6");
    fill(text, "bounds.quota-window-s", "");
    fill(text, "bounds.quota-over", "");
    fill(text, "bounds.quota-slack", "");
    fill(text, "limits.memory-mb", std::to_string(memory_mb_));
    fill(text, "limits.max-fds", "900");
    std::ofstream{folder_ + "/" + one.name_ + ".ini"} << text;
    daemons_.push_back(std::move(one));
    start_daemon(number);
    return number;
}

void fleet::start_daemon(std::size_t number) {
    auto& one = daemons_.at(number);
    // The command of deploy/system.toml, run in the root of the repository.
    std::string program{"target/services/sassafras_sessiond/sassafras_sessiond"};
    std::array<char*, 2> arguments{program.data(), nullptr};
    auto settings = "SASSAFRASDEAL_SETTINGS=" + folder_ + "/" + one.name_ + ".ini";
    std::string path{"PATH=/usr/bin:/bin"};
    std::array<char*, 3> environment{settings.data(), path.data(), nullptr};
    const auto log = folder_ + "/" + one.name_ + ".log";
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       readable_file);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Otherwise the process would keep the stand-ins' sockets open.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (::posix_spawn(&one.process_, program.c_str(), &actions, nullptr, arguments.data(),
                      environment.data()) != 0) {
        one.process_ = 0;
    }
    ::posix_spawn_file_actions_destroy(&actions);
    note("start " + one.name_);
}

void fleet::signal_daemon(std::size_t number, int signal) {
    if (daemons_.at(number).process_ > 0) {
        note("signal " + std::to_string(signal) + " to " + daemons_.at(number).name_);
        ::kill(daemons_.at(number).process_, signal);
    }
}

bool fleet::has_ended(std::size_t number) {
    auto& one = daemons_.at(number);
    if (one.process_ > 0 && ::waitpid(one.process_, nullptr, WNOHANG) == one.process_) {
        one.process_ = 0;
    }
    return one.process_ == 0;
}

asio::awaitable<bool> fleet::wait_until_ready(std::size_t number, clock::duration limit) {
    const auto end = clock::now() + limit;
    while (clock::now() < end) {
        http::line_socket socket{context_.get_executor()};
        const base::endpoint readiness{host, static_cast<std::uint16_t>(daemons_.at(number).first_port_ + 1)};
        const bool is_open = co_await socket.connect(readiness, clock::duration{500}, clock::duration{1'000});
        if (is_open) {
            socket.expires_after(clock::duration{500});
            std::string request{"GET /readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n"};
            const bool is_sent = co_await socket.write(std::move(request));
            if (is_sent) {
                const auto line = co_await socket.read_line(1'000);
                if (line && line->starts_with("HTTP/1.1 200")) {
                    co_return true;
                }
            }
        }
        co_await http::sleep_for(clock::duration{50});
    }
    co_return false;
}

std::string fleet::peer_address(std::size_t number) const {
    return local(static_cast<std::uint16_t>(daemons_.at(number).first_port_ + 2));
}

base::endpoint fleet::client_address(std::size_t number) const {
    return {host, daemons_.at(number).first_port_};
}

std::optional<std::size_t> fleet::leader() const {
    const auto entry = store_->value_of("sassafrasdeal/duty");
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
        if (entry.starts_with(peer_address(number) + " ")) {
            return number;
        }
    }
    return std::nullopt;
}

bool fleet::is_registered(std::size_t number) const {
    return !store_->value_of("sassafrasdeal/daemons/" + peer_address(number)).empty();
}

const fleet::database* fleet::find(const std::string& id) const {
    for (const auto& one : services_) {
        for (const auto* part : {&one.databases_, &one.ended_}) {
            for (const auto& candidate : *part) {
                if (candidate.id_ == id) {
                    return &candidate;
                }
            }
        }
    }
    return nullptr;
}

std::string fleet::primary_of(const std::string& name) const {
    for (const auto& one : services_) {
        if (one.name_ == name) {
            return one.databases_.at(one.leader_).id_;
        }
    }
    return {};
}

void fleet::drain(const std::string& id, clock::duration longer) {
    for (auto& one : services_) {
        for (auto& candidate : one.databases_) {
            if (candidate.id_ == id) {
                candidate.is_draining_ = true;
                candidate.longer_ = longer;
                candidate.next_beat_ = clock::now();
                note("database " + id + " of " + one.name_ + " reports draining");
            }
        }
    }
}

std::optional<clock::time_point> fleet::draining_since(const std::string& id) const {
    const auto* found = find(id);
    return found == nullptr ? std::nullopt : found->draining_since_;
}

std::vector<stand_ins::seen_statement> fleet::statements_at(const std::string& id) const {
    const auto* found = find(id);
    std::vector<stand_ins::seen_statement> statements;
    for (const auto& one :
         found == nullptr ? std::vector<stand_ins::seen_statement>{} : found->server_->seen()) {
        if (one.id_ != "-") {
            statements.push_back(one);
        }
    }
    return statements;
}

std::set<std::pair<std::string, std::string>> fleet::rolled_back() const {
    std::set<std::pair<std::string, std::string>> lost;
    for (const auto& one : services_) {
        for (const auto* part : {&one.databases_, &one.ended_}) {
            for (const auto& candidate : *part) {
                for (const auto& write : candidate.server_->rolled_back()) {
                    lost.emplace(write.key_, write.value_);
                }
            }
        }
    }
    return lost;
}

asio::awaitable<void> fleet::run_databases() {
    for (;;) {
        const auto now = clock::now();
        for (auto& one : services_) {
            step(one, now);
        }
        restart_ended(now);
        co_await http::sleep_for(step_interval);
    }
}

void fleet::restart_ended(clock::time_point now) {
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
        auto& one = daemons_[number];
        if (has_ended(number) && !one.restart_at_) {
            note(one.name_ + " has ended");
            one.restart_at_ = now + restart_delay;
        }
        if (one.restart_at_ && now >= *one.restart_at_) {
            one.restart_at_.reset();
            start_daemon(number);
        }
    }
}

void fleet::step(service& one, clock::time_point now) {
    for (std::size_t index = 0; index < one.orders_.size();) {
        const auto due = one.orders_[index];
        if (due.effective_at_ > now) {
            ++index;
            continue;
        }
        one.orders_.erase(one.orders_.begin() + static_cast<std::ptrdiff_t>(index));
        for (std::size_t number = 0; number < one.databases_.size(); ++number) {
            auto& chosen = one.databases_[number];
            if (chosen.id_ == due.id_ && one.leader_ != number) {
                one.leader_ = number;
                ++one.term_;
                chosen.server_->set_primary(true, one.term_);
                chosen.next_beat_ = now;
                last_effect_ = now;
                note("database " + chosen.id_ + " leads " + one.name_ + " in term " +
                     std::to_string(one.term_));
            }
        }
    }
    const auto leader = one.databases_.at(one.leader_).server_;
    for (std::size_t number = 0; number < one.databases_.size(); ++number) {
        auto& each = one.databases_[number];
        if (number != one.leader_) {
            bool may_follow = true;
            if (each.server_->is_primary()) {
                // A replaced primary goes on until a second after it reaches the new one.
                const auto since = each.reaches_leader_since_.value_or(now);
                each.reaches_leader_since_ = since;
                may_follow = now - since >= demotion_delay;
                if (may_follow) {
                    each.server_->set_primary(false, each.server_->term());
                    each.next_beat_ = now;
                }
            } else {
                each.reaches_leader_since_.reset();
            }
            if (may_follow && leader->is_primary()) {
                each.server_->follow(*leader, now - usual_lag);
            }
        }
        if (now >= each.next_beat_) {
            list(one, each, now);
        }
        if (each.draining_since_ && now >= *each.draining_since_ + drain_time + each.longer_) {
            replace(one, each);
        }
    }
}

void fleet::list(service& one, database& listed, clock::time_point now) {
    ++listed.sequence_;
    const bool is_written =
        store_->put("servers/" + listed.id_,
                    R"({"service":")" + one.name_ + R"(","address":")" + local(listed.port_) +
                        R"(","zone":"zg-centar","version":"v1","slots":8,"cold-remaining-ms":0,"born":)" +
                        std::to_string(listed.born_) + R"(,"sequence":)" + std::to_string(listed.sequence_) +
                        R"(,"state":")" + (listed.is_draining_ ? "draining" : "ready") + R"(","db-role":")" +
                        (listed.server_->is_primary() ? "primary" : "replica") + R"("})");
    listed.next_beat_ = now + (is_written ? heartbeat : clock::duration{200});
    if (is_written && listed.is_draining_ && !listed.draining_since_) {
        listed.draining_since_ = now;
        note("the store has accepted that " + listed.id_ + " drains, revision " +
             std::to_string(store_->revision()));
    }
}

void fleet::replace(service& one, database& ended) {
    note("database " + ended.id_ + " ends");
    ended.server_->crash();
    store_->remove("servers/" + ended.id_);
    auto gone = ended;
    gone.has_ended_ = true;
    const auto number = static_cast<std::size_t>(&ended - one.databases_.data());
    ended.id_ += "n";
    ++ended.born_;
    ended.sequence_ = 0;
    ended.is_draining_ = false;
    ended.draining_since_.reset();
    ended.next_beat_ = clock::now();
    ended.server_ = std::make_shared<stand_ins::line_database>(context_.get_executor(), one.name_, ended.id_);
    ended.server_->follow(*gone.server_, clock::now());
    ended.server_->set_primary(false, gone.server_->term());
    ended.server_->set_answer_delay(work_time);
    if (!ended.server_->listen({host, ended.port_})) {
        note("the new database cannot listen");
    }
    one.ended_.push_back(std::move(gone));
    if (number == one.leader_) {
        note("service " + one.name_ + " has no primary now");
    }
}

unsigned fleet::promote(const std::string& name, const std::string& id) {
    for (auto& one : services_) {
        if (one.name_ != name) {
            continue;
        }
        if (one.databases_.at(one.leader_).id_ == id &&
            one.databases_.at(one.leader_).server_->is_primary()) {
            return 200;
        }
        for (const auto& candidate : one.databases_) {
            if (candidate.id_ == id) {
                const bool is_pending = std::any_of(one.orders_.begin(), one.orders_.end(),
                                                    [&id](const auto& pending) { return pending.id_ == id; });
                if (!is_pending) {
                    one.orders_.push_back({id, clock::now() + promotion_time});
                }
                return 200;
            }
        }
    }
    return 409;
}

asio::awaitable<http::response> fleet::promotion_handler::operator()(http::request message,
                                                                     std::size_t /*connection*/) const {
    if (message->target_ != "/promote") {
        co_return http::json_response(404, "{}");
    }
    const auto body = boost::json::parse(message->body_).as_object();
    promotion_call call;
    call.at_ = clock::now();
    call.service_ = body.at("service").as_string().c_str();
    call.database_ = body.at("id").as_string().c_str();
    call.holder_ = http::find_header(message->headers_, "Lease-Holder").value_or("");
    call.token_ =
        std::stoull(std::string{http::find_header(message->headers_, "Fencing-Token").value_or("0")});
    call.status_ = fleet_->promote(call.service_, call.database_);
    fleet_->note("promote " + call.service_ + " " + call.database_ + " holder " + call.holder_ + " token " +
                 std::to_string(call.token_) + " answered " + std::to_string(call.status_));
    fleet_->promotions_.push_back(call);
    co_return http::json_response(call.status_, "{}");
}

void fleet::run_client(std::size_t daemon, std::string service, std::string key, bool is_writer,
                       clock::duration pause) {
    asio::co_spawn(context_, client(daemon, std::move(service), std::move(key), is_writer, pause),
                   asio::detached);
}

asio::awaitable<void> fleet::client(std::size_t daemon, std::string service, std::string key, bool is_writer,
                                    clock::duration pause) {
    const base::endpoint address{host, daemons_.at(daemon).first_port_};
    for (;;) {
        http::line_socket socket{context_.get_executor()};
        bool is_open = co_await socket.connect(address, clock::duration{1'000}, clock::duration{10'000});
        if (is_open) {
            auto start = "START " + service + "db u3f1\r\n";
            socket.expires_after(clock::duration{2'000});
            is_open = co_await socket.write(std::move(start));
            if (is_open) {
                const auto greeting = co_await socket.read_line(65'536);
                is_open = greeting && greeting->starts_with("READY");
            }
        }
        while (is_open) {
            operation one;
            one.id_ = "c" + std::to_string(++last_id_);
            one.daemon_ = daemon;
            one.key_ = key;
            one.value_ = is_writer ? ++last_value_ : 0;
            const auto text = is_writer ? "STORE " + key + " " + std::to_string(one.value_) : "FETCH " + key;
            auto line = "QUERY " + one.id_ + " " + text + "\r\n";
            socket.expires_after(clock::duration{3'000});
            one.sent_at_ = clock::now();
            is_open = co_await socket.write(std::move(line));
            while (is_open) {
                auto received = co_await socket.read_line(65'536);
                if (!received) {
                    one.status_ = "-";
                    is_open = false;
                    break;
                }
                std::istringstream words{*received};
                std::string word;
                words >> word;
                if (word == "ROW") {
                    std::string name;
                    std::string value;
                    words >> one.database_ >> name >> value;
                    one.read_value_ = value == "-" || value.empty() ? 0 : std::stoull(value);
                } else if (word == "COMPLETE") {
                    one.status_ = word;
                    std::string signature;
                    words >> signature;
                    if (one.database_.empty() && signature.size() > 4) {
                        one.database_ = signature.substr(4, signature.rfind('.') - 4);
                    }
                } else if (word == "ERROR") {
                    words >> one.status_;
                } else if (word == "READY") {
                    break;
                }
            }
            one.answered_at_ = clock::now();
            operations_.push_back(std::move(one));
            if (is_open) {
                co_await http::sleep_for(pause);
            }
        }
        socket.close();
        co_await http::sleep_for(reconnect_delay);
    }
}

void fleet::write_operations() {
    record_ << "operations: id daemon key value sent answered status database value-read\n";
    for (const auto& one : operations_) {
        record_ << one.id_ << " " << one.daemon_ << " " << one.key_ << " "
                << (one.value_ == 0 ? std::string{"read"} : std::to_string(one.value_)) << " "
                << time_text(one.sent_at_) << " " << time_text(one.answered_at_) << " " << one.status_ << " "
                << (one.database_.empty() ? "-" : one.database_) << " " << one.read_value_ << "\n";
    }
    record_ << "statements that databases ran: database id text time\n";
    for (const auto& one : services_) {
        for (const auto* part : {&one.databases_, &one.ended_}) {
            for (const auto& each : *part) {
                for (const auto& seen : each.server_->seen()) {
                    if (seen.id_ != "-") {
                        record_ << each.id_ << " " << seen.id_ << " " << seen.text_ << " "
                                << time_text(seen.ran_at_) << "\n";
                    }
                }
            }
        }
    }
    record_.flush();
}

} // namespace review
