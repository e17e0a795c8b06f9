#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/event.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/message_codec.hpp>
#include <daemons/udp_transport.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>
#include <proxy/control_context.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Questions and answers between session daemons, over datagrams: evidence, the sight of primaries, and the
/// request to stop using one. Everything may be lost and is asked again. Thread safety: control thread.
template <typename Platform>
class peer_exchange {
public:
    peer_exchange(control_context<Platform>& control, daemons::udp_transport transport)
        : control_{control}, transport_{std::move(transport)} {}

    /// Answers and takes in what peers send until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> receive() {
        for (;;) {
            const auto bytes = co_await transport_.receive();
            if (!bytes) {
                co_await http::sleep_for(receive_retry_delay);
                continue;
            }
            auto message = daemons::decode_message<daemons::fleet_message>(*bytes);
            if (message) {
                handle(std::move(*message));
            }
        }
    }

    /// Asks the peers as often as the present state needs it, until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> ask() {
        for (;;) {
            const auto now = base::clock::now();
            if (now >= next_peer_round_) {
                ask_all(now);
            } else if (!control_.leadership_ && now >= next_leader_request_) {
                ask_holder(now);
            }
            if (needs_lease_renewal(now) || is_suspecting_) {
                co_await http::sleep_for(hasty_period);
            } else {
                co_await http::sleep_for(calm_period);
            }
        }
    }

    /// Sends one question to every registered peer.
    void ask_all(base::clock::time_point now) {
        auto request = make_message(daemons::fleet_message_kind::request);
        peer_round_ = peer_round{request.number_, now, {}, peers()};
        request.primaries_ = observations(now);
        send_to_all(request);
        const bool is_urgent = needs_lease_renewal(now) || is_suspecting_;
        next_peer_round_ = now + (is_urgent ? hasty_period : liveness_period);
        next_leader_request_ = now + holder_period;
    }

    /// Asks only the holder of the duty, which reads the store all the time.
    void ask_holder(base::clock::time_point now) {
        const auto request = make_message(daemons::fleet_message_kind::request);
        leader_request_ = {request.number_, now};
        next_leader_request_ = now + holder_period;
        send(control_.leader_, daemons::encode_message(daemons::fleet_message{request}));
    }

    /// Makes questions more frequent while a primary is suspected.
    void set_suspecting(bool is_suspecting) noexcept { is_suspecting_ = is_suspecting; }

    /// Asks all peers to stop using a replaced primary. Repeated by the caller until `stopped` is complete.
    void ask_to_stop(const daemons::takeover_record& record, base::clock::duration grace) {
        auto request = make_message(daemons::fleet_message_kind::stop_request);
        request.records_.push_back(record);
        request.grace_ = grace;
        send_to_all(request);
    }

    /// Returns the registered peers that have not answered a stop request for a record.
    [[nodiscard]] std::vector<std::string> not_stopped(const daemons::takeover_record& record) const {
        std::vector<std::string> missing;
        const auto found = stopped_.find(record->service_);
        for (const auto& address : peers()) {
            const bool has_answered = found != stopped_.end() &&
                                      found->second.revision_ >= record->revision_ &&
                                      found->second.daemons_.contains(address);
            if (!has_answered) {
                missing.push_back(address);
            }
        }
        return missing;
    }

    /// Tells all peers a new state of a record.
    void tell(const daemons::takeover_record& record) {
        auto notice = make_message(daemons::fleet_message_kind::notice);
        notice.records_.push_back(record);
        send_to_all(notice);
    }

    /// Gives up the duty with a token, which the store cannot be told.
    void tell_resignation(std::uint64_t token) {
        auto message = make_message(daemons::fleet_message_kind::resignation);
        message.number_ = token;
        send_to_all(message);
    }

    /// Tells all peers that the primary of a service does not answer here.
    void tell_suspicion(const std::string& service, const std::string& database) {
        auto message = make_message(daemons::fleet_message_kind::suspicion);
        message.primaries_.push_back(daemons::observed_primary{
            daemons::observed_primary_fields{service, database, daemons::primary_observation::fails}});
        send_to_all(message);
    }

    /// Counts the peers that have lately seen a primary in one way.
    [[nodiscard]] std::uint32_t count_observations(const std::string& service, const std::string& database,
                                                   daemons::primary_observation wanted) const {
        const auto now = base::clock::now();
        std::uint32_t count = 0;
        for (const auto& [address, seen] : peer_observations_) {
            const auto found = seen.find(service);
            const bool is_recent = found != seen.end() && now - found->second.at_ <= max_observation_age;
            if (is_recent && found->second.primary_->database_ == database &&
                found->second.primary_->observation_ == wanted) {
                ++count;
            }
        }
        return count;
    }

    /// Returns when a daemon was last heard, or nothing.
    [[nodiscard]] std::optional<base::clock::time_point> last_heard(const std::string& address) const {
        const auto found = heard_.find(address);
        return found == heard_.end() ? std::nullopt : std::optional{found->second};
    }

private:
    struct peer_round {
        std::uint64_t number_ = 0;
        base::clock::time_point requested_at_{};
        std::set<std::string> answered_;
        /// The registered daemons when the questions were sent; a round counts only if they are the same.
        std::vector<std::string> asked_;
    };
    struct sent_request {
        std::uint64_t number_ = 0;
        base::clock::time_point requested_at_{};
    };
    struct dated_observation {
        daemons::observed_primary primary_;
        base::clock::time_point at_{};
    };
    struct stop_responses {
        std::uint64_t revision_ = 0;
        std::set<std::string> daemons_;
    };

    [[nodiscard]] std::vector<std::string> peers() const {
        std::vector<std::string> addresses;
        for (const auto& [address, entry] : control_.knowledge_.registrations()) {
            if (address != control_.address_) {
                addresses.push_back(address);
            }
        }
        return addresses;
    }

    [[nodiscard]] bool needs_lease_renewal(base::clock::time_point now) const {
        const auto age = control_.primary_lease_.age(now);
        return control_.registered_at_ && (!age || *age > lease_renewal_age);
    }

    daemons::fleet_message_fields make_message(daemons::fleet_message_kind kind) {
        daemons::fleet_message_fields message;
        message.kind_ = kind;
        message.number_ = ++last_number_;
        message.sender_ = control_.address_;
        message.run_ = control_.run_;
        return message;
    }

    [[nodiscard]] std::vector<daemons::observed_primary> observations(base::clock::time_point now) const {
        std::vector<daemons::observed_primary> all;
        const auto fleet = control_.shared_.fleet_.get();
        for (const auto& [service, view] : (*fleet)->services_) {
            if (!view->primary_.empty()) {
                const auto observation = control_.observation_of(service, view->primary_, now);
                all.push_back(daemons::observed_primary{
                    daemons::observed_primary_fields{service, view->primary_, observation}});
            }
        }
        return all;
    }

    void send_to_all(const daemons::fleet_message_fields& message) {
        const auto bytes = daemons::encode_message(daemons::fleet_message{message});
        for (const auto& address : peers()) {
            send(address, bytes);
        }
    }

    void send(const std::string& address, const std::string& bytes) {
        if (const auto to = base::endpoint::parse(address)) {
            transport_.send(*to, bytes);
        }
    }

    void handle(daemons::fleet_message message) {
        const auto now = base::clock::now();
        heard_.insert_or_assign(message->sender_, now);
        for (const auto& record : message->records_) {
            control_.adopt(record);
        }
        record_observations(*message, now);
        switch (message->kind_) {
        case daemons::fleet_message_kind::request:
            boost::asio::co_spawn(control_.context_, response(std::move(message)), boost::asio::detached);
            break;
        case daemons::fleet_message_kind::response:
            receive_response(*message, now);
            break;
        case daemons::fleet_message_kind::stop_request:
            boost::asio::co_spawn(control_.context_, stop(std::move(message)), boost::asio::detached);
            break;
        case daemons::fleet_message_kind::stop_response:
            for (const auto& record : message->records_) {
                note_stopped(*record, message->sender_);
            }
            break;
        case daemons::fleet_message_kind::resignation:
            if (control_.resigned_token_ != message->number_) {
                control_.resigned_token_ = message->number_;
                control_.poll_soon_.notify_all();
            }
            break;
        case daemons::fleet_message_kind::suspicion:
        case daemons::fleet_message_kind::notice:
            break;
        }
    }

    void record_observations(const daemons::fleet_message_fields& message, base::clock::time_point now) {
        for (const auto& seen : message.primaries_) {
            peer_observations_[message.sender_].insert_or_assign(seen->service_,
                                                                 dated_observation{seen, now});
            const auto own = control_.observation_of(seen->service_, seen->database_, now);
            if (seen->observation_ == daemons::primary_observation::fails &&
                own == daemons::primary_observation::unknown) {
                // A second opinion for the peer that finds it failing.
                control_.probe_primary(seen->service_);
            }
        }
    }

    boost::asio::awaitable<void> response(daemons::fleet_message request) {
        co_await control_.collect_healths();
        const auto now = base::clock::now();
        auto reply = make_message(daemons::fleet_message_kind::response);
        reply.number_ = request->number_;
        reply.store_read_age_ = control_.primary_lease_.store_age(now);
        reply.known_run_ = known_run(request->sender_);
        reply.registered_ = control_.knowledge_.registration_list();
        reply.records_ = control_.knowledge_.records();
        reply.active_takeovers_.assign(control_.active_takeovers_.begin(), control_.active_takeovers_.end());
        reply.primaries_ = observations(now);
        send(request->sender_, daemons::encode_message(daemons::fleet_message{std::move(reply)}));
    }

    [[nodiscard]] std::uint64_t known_run(const std::string& address) const {
        const auto& all = control_.knowledge_.registrations();
        const auto found = all.find(address);
        return found == all.end() || found->second->is_marked_ ? 0 : found->second->run_;
    }

    void receive_response(const daemons::fleet_message_fields& reply, base::clock::time_point now) {
        if (!control_.registered_at_) {
            return;
        }
        // A process that has not read the store yet has begun nothing, and the one before it at its address
        // ended.
        const bool is_fresh_process = reply.known_run_ == 0 && !reply.store_read_age_;
        if (reply.known_run_ != control_.run_ && !is_fresh_process) {
            return;
        }
        const bool is_same_list = reply.registered_ == control_.knowledge_.registration_list();
        const auto list = is_same_list ? daemons::peer_list::same : daemons::peer_list::other;
        if (!is_same_list) {
            read_list_if_old(now);
        }
        if (reply.number_ == leader_request_.number_ && reply.store_read_age_) {
            control_.primary_lease_.note_peer(leader_request_.requested_at_, *reply.store_read_age_, list);
            control_.publish_primary_lease();
        }
        if (reply.number_ != peer_round_.number_) {
            return;
        }
        // The records came first, so the evidence covers what this daemon now knows.
        if (reply.store_read_age_) {
            control_.primary_lease_.note_peer(peer_round_.requested_at_, *reply.store_read_age_, list);
        }
        if (reply.active_takeovers_.empty()) {
            peer_round_.answered_.insert(reply.sender_);
        }
        const bool is_complete = peer_round_.answered_.size() == peer_round_.asked_.size() &&
                                 control_.active_takeovers_.empty() && peers() == peer_round_.asked_;
        if (is_complete) {
            control_.primary_lease_.note_peer_round(peer_round_.requested_at_);
        }
        if (now < control_.primary_lease_.expiry()) {
            control_.publish_primary_lease();
        }
    }

    /// Lets this daemon read the fleet's keys when it has rested on an old list of registered daemons for a
    /// while.
    void read_list_if_old(base::clock::time_point now) {
        const auto age = control_.primary_lease_.list_age(now);
        if (age && *age > old_list) {
            control_.poll_soon_.notify_all();
        }
    }

    /// Stops using a primary and says so. Repeated requests are answered again.
    boost::asio::awaitable<void> stop(daemons::fleet_message request) {
        for (const auto& record : request->records_) {
            const auto known = control_.knowledge_.record_of(record->service_);
            if (known && (*known)->revision_ > record->revision_) {
                continue;
            }
            if (own_stops_[record->service_] < record->revision_) {
                auto service = record->service_;
                auto database = record->replaced_;
                co_await control_.drain_database(std::move(service), std::move(database), request->grace_);
                own_stops_[record->service_] = record->revision_;
            }
            auto reply = make_message(daemons::fleet_message_kind::stop_response);
            reply.records_.push_back(record);
            send(request->sender_, daemons::encode_message(daemons::fleet_message{std::move(reply)}));
        }
    }

    void note_stopped(const daemons::takeover_record_fields& record, const std::string& daemon) {
        auto& answers = stopped_[record.service_];
        if (answers.revision_ < record.revision_) {
            answers = stop_responses{record.revision_, {}};
        }
        if (answers.revision_ == record.revision_) {
            answers.daemons_.insert(daemon);
        }
    }

    static constexpr base::clock::duration receive_retry_delay{20};
    // Two questions to the holder that went unanswered; then all peers are asked.
    static constexpr base::clock::duration lease_renewal_age{1'400};
    // A quarter of the time for which rounds count after it.
    static constexpr base::clock::duration old_list{3'000};
    static constexpr base::clock::duration holder_period{400};
    static constexpr base::clock::duration hasty_period{150};
    static constexpr base::clock::duration calm_period{200};
    // Tells the holder of the duty which daemons are alive.
    static constexpr base::clock::duration liveness_period{2'000};
    static constexpr base::clock::duration max_observation_age{600};

    control_context<Platform>& control_;
    daemons::udp_transport transport_;
    peer_round peer_round_;
    sent_request leader_request_;
    std::map<std::string, std::map<std::string, dated_observation>> peer_observations_;
    std::map<std::string, base::clock::time_point> heard_;
    std::map<std::string, stop_responses> stopped_;
    /// Revision of the last record for which this daemon has stopped, by service.
    std::map<std::string, std::uint64_t> own_stops_;
    base::clock::time_point next_peer_round_{};
    base::clock::time_point next_leader_request_{};
    std::uint64_t last_number_ = 0;
    bool is_suspecting_ = false;
};

} // namespace proxy
