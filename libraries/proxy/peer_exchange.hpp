#pragma once

#include <base/clock.hpp>
#include <base/endpoint.hpp>
#include <base/event.hpp>
#include <base/store_revision.hpp>
#include <daemons/exchange_schedule.hpp>
#include <daemons/fleet_message.hpp>
#include <daemons/message_codec.hpp>
#include <daemons/udp_transport.hpp>
#include <http/sleep.hpp>
#include <http/wait_signal.hpp>
#include <proxy/control_context.hpp>
#include <proxy/quota_exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace proxy {

/// Exchanges datagrams with the other session daemons: requests that renew the primary lease, observations of
/// primaries, and requests to stop using a primary.
///
/// Any datagram may be lost, so every request is repeated. Thread safety: control thread.
template <typename Platform>
class peer_exchange {
public:
    peer_exchange(control_context<Platform>& control, daemons::udp_transport transport)
        : control_{control}, transport_{std::move(transport)}, quota_{control, [this] {
                                                                          request_tokens(base::clock::now());
                                                                      }} {}

    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;
    ~peer_exchange() = default;

    /// The part of the exchange that is about limits of tenants.
    [[nodiscard]] quota_exchange<Platform>& quota() noexcept { return quota_; }

    /// Receives and handles the messages of peers until the process ends.
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

    /// Asks the peers that `next_exchange` names until the process ends.
    [[nodiscard]] boost::asio::awaitable<void> send_requests() {
        for (;;) {
            const auto now = base::clock::now();
            switch (daemons::next_exchange(state_at(now))) {
            case daemons::exchange_step::start_round:
                start_round(now);
                break;
            case daemons::exchange_step::survey_peers:
                survey_peers(now);
                break;
            case daemons::exchange_step::ask_silent_peers:
                ask_silent_peers(now);
                break;
            case daemons::exchange_step::ask_leader:
                request_from_leader(now);
                break;
            case daemons::exchange_step::wait:
                break;
            }
            const bool is_urgent = is_suspecting_ || needs_lease_renewal(now);
            co_await http::sleep_for(is_urgent ? urgent_check_interval : idle_check_interval);
        }
    }

    /// Sets whether a primary is suspected, which shortens the interval between requests and makes the next
    /// one due.
    void set_suspecting(bool is_suspecting) noexcept {
        if (is_suspecting && !is_suspecting_) {
            leader_request_ = {};
            surveyed_at_.reset();
        }
        is_suspecting_ = is_suspecting;
    }

    /// Asks the peers that have not confirmed it to stop using a replaced primary after `grace`. The caller
    /// repeats the request until `find_unstopped_peers` returns no peer.
    void request_stop(const daemons::takeover_record& record, base::clock::duration grace) {
        auto request = make_message(daemons::fleet_message_kind::stop_request);
        request.records_.push_back(record);
        request.grace_ = grace;
        const auto bytes = daemons::encode_message(daemons::fleet_message{request});
        for (const auto& address : find_unstopped_peers(record)) {
            send(address, bytes);
        }
    }

    /// Returns the registered peers that have not confirmed a stop request for a record or a newer one.
    [[nodiscard]] std::vector<std::string>
    find_unstopped_peers(const daemons::takeover_record& record) const {
        std::vector<std::string> unstopped_peers;
        const auto found = stop_confirmations_.find(record->service_);
        for (const auto& address : peers()) {
            const bool has_confirmed = found != stop_confirmations_.end() &&
                                       !record->revision_.is_later_than(found->second.revision_) &&
                                       found->second.daemons_.contains(address);
            if (!has_confirmed) {
                unstopped_peers.push_back(address);
            }
        }
        return unstopped_peers;
    }

    /// Asks the daemons of `unheard_daemons` for the takeover records that they know. The caller repeats the
    /// request.
    void request_records() {
        const auto bytes = daemons::encode_message(daemons::fleet_message{make_request(base::clock::now())});
        for (const auto& address : unheard_daemons()) {
            send(address, bytes);
        }
    }

    /// Returns the daemons that have not answered in the store's present history that they have no takeover
    /// under way.
    [[nodiscard]] std::vector<std::string> unheard_daemons() const {
        auto addresses = peers();
        if (responders_era_ == control_.store_history_.era()) {
            std::erase_if(addresses, [this](const auto& address) { return responders_.contains(address); });
        }
        return addresses;
    }

    /// Sends the new state of a takeover record to all peers.
    void announce_record(const daemons::takeover_record& record) {
        auto announcement = make_message(daemons::fleet_message_kind::notice);
        announcement.records_.push_back(record);
        send_to_all(announcement);
    }

    /// Tells all peers that this daemon resigned the leadership with a token, because the store is
    /// unreachable.
    void announce_resignation(std::uint64_t token) {
        auto message = make_message(daemons::fleet_message_kind::resignation);
        message.number_ = token;
        send_to_all(message);
    }

    /// Counts the peers whose recent observation of a primary equals `wanted`.
    [[nodiscard]] std::uint32_t count_observations(const std::string& service, const std::string& database,
                                                   daemons::primary_observation wanted) const {
        const auto now = base::clock::now();
        std::uint32_t count = 0;
        for (const auto& [address, observed] : peer_observations_) {
            const auto found = observed.find(service);
            const bool is_recent = found != observed.end() && now - found->second.at_ <= max_observation_age;
            if (is_recent && found->second.primary_->database_ == database &&
                found->second.primary_->observation_ == wanted) {
                ++count;
            }
        }
        return count;
    }

    /// Returns when the last message of a daemon arrived, or nothing if none has.
    [[nodiscard]] std::optional<base::clock::time_point> last_message_time(const std::string& address) const {
        const auto found = last_message_at_.find(address);
        return found == last_message_at_.end() ? std::nullopt : std::optional{found->second};
    }

    /// Counts the registered peers that have sent nothing since a moment. Peers that were marked as silent
    /// before are left out.
    [[nodiscard]] std::uint32_t count_unheard_since(base::clock::time_point moment) const {
        std::uint32_t count = 0;
        for (const auto& [address, entry] : control_.knowledge_.registrations()) {
            const auto heard_at = last_message_time(address);
            const bool is_expected = address != control_.address_ && !entry->is_marked_;
            if (is_expected && (!heard_at || *heard_at < moment)) {
                ++count;
            }
        }
        return count;
    }

private:
    struct peer_round {
        std::uint64_t number_ = 0;
        base::clock::time_point requested_at_{};
        /// When the peers without a response were last asked.
        base::clock::time_point repeated_at_{};
        std::set<std::string> responders_;
        /// The possible leaders when the requests were sent. The round counts only if they are unchanged.
        std::vector<std::string> recipients_;
        /// The history of the store in which it was started.
        base::store_era era_ = base::store_era::unstated;
    };
    struct pending_request {
        std::uint64_t number_ = 0;
        base::clock::time_point requested_at_{};
    };
    struct timed_observation {
        daemons::observed_primary primary_;
        base::clock::time_point at_{};
    };
    struct stop_confirmations {
        base::store_revision revision_;
        std::set<std::string> daemons_;
    };

    [[nodiscard]] std::vector<std::string> peers() const {
        std::vector<std::string> addresses;
        const auto& registrations = control_.knowledge_.registrations();
        for (const auto& [address, entry] : registrations) {
            if (address != control_.address_) {
                addresses.push_back(address);
            }
        }
        for (const auto& address : control_.earlier_daemons(base::clock::now())) {
            if (!registrations.contains(address)) {
                addresses.push_back(address);
            }
        }
        return addresses;
    }

    [[nodiscard]] daemons::exchange_state state_at(base::clock::time_point now) const {
        daemons::exchange_state state;
        state.peers_ = control_.knowledge_.registrations().size();
        state.is_leader_ = control_.leadership_.has_value();
        state.has_leader_ = !control_.leader_.empty() && control_.leader_ != control_.address_;
        state.needs_lease_renewal_ = needs_lease_renewal(now);
        state.is_suspecting_ = is_suspecting_;
        if (leader_request_.number_ != 0) {
            state.since_leader_request_ = now - leader_request_.requested_at_;
        }
        if (surveyed_at_) {
            state.since_survey_ = now - *surveyed_at_;
        }
        if (peer_round_.number_ != 0) {
            state.since_round_ = now - peer_round_.requested_at_;
            state.since_repeat_ = now - peer_round_.repeated_at_;
            state.is_round_complete_ = peer_round_.responders_.size() == peer_round_.recipients_.size();
        }
        return state;
    }

    /// Sends one request to every daemon that may have begun a takeover.
    void start_round(base::clock::time_point now) {
        const auto request = make_request(now);
        peer_round_ = peer_round{request.number_, now, now, {}, round_recipients(), request.era_};
        const auto bytes = daemons::encode_message(daemons::fleet_message{request});
        for (const auto& address : peer_round_.recipients_) {
            send(address, bytes);
        }
    }

    /// Asks every registered peer for its observations of the primaries.
    void survey_peers(base::clock::time_point now) {
        surveyed_at_ = now;
        send_to_all(make_request(now));
    }

    [[nodiscard]] std::vector<std::string> round_recipients() const {
        auto addresses = control_.knowledge_.possible_leaders();
        std::erase(addresses, control_.address_);
        return addresses;
    }

    /// Repeats the request of the current round to the peers that have not responded.
    void ask_silent_peers(base::clock::time_point now) {
        auto request = make_request(now);
        request.number_ = peer_round_.number_;
        peer_round_.repeated_at_ = now;
        const auto bytes = daemons::encode_message(daemons::fleet_message{request});
        for (const auto& address : peer_round_.recipients_) {
            if (!peer_round_.responders_.contains(address)) {
                send(address, bytes);
            }
        }
    }

    /// Sends a request to the leader only, which polls the store continuously.
    void request_from_leader(base::clock::time_point now) {
        auto request = make_request(now);
        leader_request_ = {request.number_, now};
        quota_.add_to_request(request, now);
        send_with_quota(control_.leader_, std::move(request));
    }

    /// Asks the leader for tokens before its next request is due. Does not replace the request that renews
    /// the primary lease, whose response may still be under way.
    void request_tokens(base::clock::time_point now) {
        auto request = make_request(now);
        quota_.add_to_request(request, now);
        send_with_quota(control_.leader_, std::move(request));
    }

    /// Sends a message without its part about tokens if it is too long for a datagram with it.
    void send_with_quota(const std::string& address, daemons::fleet_message_fields message) {
        auto bytes = daemons::encode_message(daemons::fleet_message{message});
        if (bytes.size() > max_message_bytes && !message.quota_->is_empty()) {
            message.quota_ = {};
            bytes = daemons::encode_message(daemons::fleet_message{std::move(message)});
        }
        send(address, bytes);
    }

    /// Creates a request that reports the primaries whose condition this daemon has to settle with its peers.
    daemons::fleet_message_fields make_request(base::clock::time_point now) {
        auto request = make_message(daemons::fleet_message_kind::request);
        request.records_digest_ = daemons::digest_of(control_.knowledge_.records());
        if (is_suspecting_) {
            request.primaries_ = observations(now);
        }
        return request;
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
        message.era_ = control_.store_history_.era();
        message.is_confirmed_ = control_.is_history_confirmed();
        message.received_ = control_.received_;
        message.configuration_version_ = control_.configuration_version();
        return message;
    }

    [[nodiscard]] std::vector<daemons::observed_primary> observations(base::clock::time_point now) const {
        std::vector<daemons::observed_primary> observed_primaries;
        const auto fleet = control_.shared_.fleet_.get();
        for (const auto& [service, view] : (*fleet)->services_) {
            if (!view->primary_.empty()) {
                const auto observation = control_.observation_of(service, view->primary_, now);
                observed_primaries.push_back(daemons::observed_primary{
                    daemons::observed_primary_fields{service, view->primary_, observation}});
            }
        }
        return observed_primaries;
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
        last_message_at_.insert_or_assign(message->sender_, now);
        control_.store_history_.note_peer(message->era_, message->sender_);
        if (message->era_ != control_.store_history_.era()) {
            inform_of_history(*message);
            return;
        }
        control_.note_report(message->received_, now);
        control_.note_configuration(message->configuration_version_, message->sender_, now);
        note_responder(*message);
        if (message->is_confirmed_ || !control_.is_history_confirmed()) {
            for (const auto& record : message->records_) {
                control_.adopt(record);
            }
        }
        record_observations(*message, now);
        switch (message->kind_) {
        case daemons::fleet_message_kind::request:
            boost::asio::co_spawn(control_.context_, respond(std::move(message)),
                                  control_.log_failures("peer response"));
            break;
        case daemons::fleet_message_kind::response:
            handle_response(*message, now);
            break;
        case daemons::fleet_message_kind::stop_request:
            boost::asio::co_spawn(control_.context_, handle_stop_request(std::move(message)),
                                  control_.log_failures("stop request"));
            break;
        case daemons::fleet_message_kind::stop_response:
            for (const auto& record : message->records_) {
                record_stopped(*record, message->sender_);
            }
            break;
        case daemons::fleet_message_kind::resignation:
            if (control_.resigned_token_ != message->number_) {
                control_.resigned_token_ = message->number_;
                if (control_.candidate_since_) {
                    control_.poll_requested_.notify_all();
                }
            }
            break;
        case daemons::fleet_message_kind::suspicion:
        case daemons::fleet_message_kind::notice:
            break;
        }
    }

    void note_responder(const daemons::fleet_message_fields& message) {
        if (responders_era_ != message.era_) {
            responders_era_ = message.era_;
            responders_.clear();
        }
        const bool has_no_takeover =
            message.kind_ == daemons::fleet_message_kind::response && message.active_takeovers_.empty();
        if (has_no_takeover && !control_.is_history_confirmed()) {
            responders_.insert(message.sender_);
        }
    }

    /// Takes over the records of a daemon that knows those which were confirmed, if the response has them
    /// all.
    void confirm_history(const daemons::fleet_message_fields& response) {
        if (!response.is_confirmed_ || control_.is_history_confirmed()) {
            return;
        }
        const auto known = control_.knowledge_.records();
        if (daemons::digest_of(response.records_) == response.records_digest_) {
            control_.confirm_history(response.records_);
        } else if (daemons::digest_of(known) == response.records_digest_) {
            control_.confirm_history(known);
        }
    }

    /// Answers a daemon that knows only an earlier history of the store. What it says of the store is not
    /// used: its revisions, and the leadership and the takeovers that rest on them, are of that history.
    void inform_of_history(const daemons::fleet_message_fields& message) {
        if (message.kind_ != daemons::fleet_message_kind::response) {
            const auto notice = make_message(daemons::fleet_message_kind::notice);
            send(message.sender_, daemons::encode_message(daemons::fleet_message{notice}));
        }
    }

    void record_observations(const daemons::fleet_message_fields& message, base::clock::time_point now) {
        for (const auto& observed : message.primaries_) {
            peer_observations_[message.sender_].insert_or_assign(observed->service_,
                                                                 timed_observation{observed, now});
            const auto own = control_.observation_of(observed->service_, observed->database_, now);
            if (observed->observation_ == daemons::primary_observation::fails &&
                own == daemons::primary_observation::unknown) {
                // Probes the primary so that this daemon can confirm or contradict the peer's observation.
                control_.probe_primary(observed->service_);
            }
        }
    }

    boost::asio::awaitable<void> respond(daemons::fleet_message request) {
        const bool has_observations = !request->primaries_.empty();
        if (has_observations) {
            co_await control_.collect_health_reports();
        }
        const auto now = base::clock::now();
        auto response = make_message(daemons::fleet_message_kind::response);
        response.number_ = request->number_;
        response.store_read_age_ = control_.primary_lease_.store_age(now);
        response.known_run_ = known_run(request->sender_);
        response.possible_leaders_ = control_.knowledge_.possible_leaders_version();
        response.registered_daemons_ = control_.knowledge_.registrations().size();
        response.leader_ = control_.leader_;
        response.leader_revision_ = control_.leader_revision_;
        response.records_ = control_.knowledge_.records();
        response.records_digest_ = daemons::digest_of(response.records_);
        if (response.records_digest_ == request->records_digest_) {
            response.records_.clear();
        }
        response.active_takeovers_.assign(control_.active_takeovers_.begin(),
                                          control_.active_takeovers_.end());
        if (has_observations) {
            response.primaries_ = observations(now);
        }
        quota_.add_to_response(*request, response, now);
        send_with_quota(request->sender_, std::move(response));
    }

    [[nodiscard]] std::uint64_t known_run(const std::string& address) const {
        const auto& registrations = control_.knowledge_.registrations();
        const auto found = registrations.find(address);
        return found == registrations.end() || found->second->is_marked_ ? 0 : found->second->run_;
    }

    void handle_response(const daemons::fleet_message_fields& response, base::clock::time_point now) {
        if (!control_.registered_at_) {
            return;
        }
        if (response.leader_revision_.is_later_than(control_.leader_revision_)) {
            control_.leader_ = response.leader_;
            control_.leader_revision_ = response.leader_revision_;
        }
        quota_.handle_response(response, now);
        // A process that has not read the store yet has begun no takeover, and the previous process at its
        // address has ended, so its response counts.
        const bool is_fresh_process = response.known_run_ == 0 && !response.store_read_age_;
        if (response.known_run_ != control_.run_ && !is_fresh_process) {
            return;
        }
        if (!is_fresh_process) {
            confirm_history(response);
        }
        if (!control_.is_history_confirmed()) {
            return;
        }
        if (!is_similar_size(response.registered_daemons_, control_.knowledge_.registrations().size()) &&
            now - control_.fleet_read_requested_at_ > max_list_age) {
            control_.poll_requested_.notify_all();
        }
        const bool is_same_list =
            response.possible_leaders_ == control_.knowledge_.possible_leaders_version();
        const auto list = is_same_list ? daemons::peer_list::same : daemons::peer_list::other;
        if (!is_same_list) {
            refresh_list_if_old(now);
        }
        if (response.number_ == leader_request_.number_ && response.store_read_age_) {
            control_.primary_lease_.note_peer(leader_request_.requested_at_, *response.store_read_age_, list);
            control_.publish_primary_lease();
        }
        if (response.number_ != peer_round_.number_ || peer_round_.era_ != response.era_) {
            return;
        }
        // The records of the response were adopted before, so the lease covers the takeovers known now.
        if (response.store_read_age_) {
            control_.primary_lease_.note_peer(peer_round_.requested_at_, *response.store_read_age_, list);
        }
        if (response.active_takeovers_.empty()) {
            peer_round_.responders_.insert(response.sender_);
        }
        const bool is_complete = peer_round_.responders_.size() == peer_round_.recipients_.size() &&
                                 control_.active_takeovers_.empty() &&
                                 round_recipients() == peer_round_.recipients_;
        if (is_complete) {
            control_.primary_lease_.note_peer_round(peer_round_.requested_at_);
        }
        if (now < control_.primary_lease_.expiry()) {
            control_.publish_primary_lease();
        }
    }

    /// Returns whether the sizes of two fleets lead to about the same share of scarce connections.
    [[nodiscard]] static bool is_similar_size(std::uint64_t first, std::uint64_t second) noexcept {
        constexpr std::uint64_t tolerated_part = 8;
        const auto difference = first > second ? first - second : second - first;
        return difference * tolerated_part <= second;
    }

    /// Requests a read of the fleet's keys when the possible leaders were not confirmed for a while.
    void refresh_list_if_old(base::clock::time_point now) {
        const auto age = control_.primary_lease_.list_age(now);
        if (age && *age > max_list_age) {
            control_.poll_requested_.notify_all();
        }
    }

    /// Stops using a replaced primary and confirms it. Repeated requests are confirmed again.
    boost::asio::awaitable<void> handle_stop_request(daemons::fleet_message request) {
        for (const auto& record : request->records_) {
            const auto known_record = control_.knowledge_.record_of(record->service_);
            if (known_record && (*known_record)->revision_.is_later_than(record->revision_)) {
                continue;
            }
            if (record->revision_.is_later_than(stopped_revisions_[record->service_])) {
                auto service = record->service_;
                auto database = record->replaced_;
                co_await control_.drain_database(std::move(service), std::move(database), request->grace_);
                stopped_revisions_[record->service_] = record->revision_;
            }
            auto response = make_message(daemons::fleet_message_kind::stop_response);
            response.records_.push_back(record);
            send(request->sender_, daemons::encode_message(daemons::fleet_message{std::move(response)}));
        }
    }

    void record_stopped(const daemons::takeover_record_fields& record, const std::string& daemon) {
        auto& confirmations = stop_confirmations_[record.service_];
        if (record.revision_.is_later_than(confirmations.revision_)) {
            confirmations = stop_confirmations{record.revision_, {}};
        }
        if (confirmations.revision_ == record.revision_) {
            confirmations.daemons_.insert(daemon);
        }
    }

    static constexpr base::clock::duration receive_retry_delay{20};
    // Two requests to the leader without a response; beyond this, all possible leaders are asked.
    static constexpr base::clock::duration lease_renewal_age{1'200};
    // A quarter of the time for which peer rounds count after the possible leaders were confirmed.
    static constexpr base::clock::duration max_list_age{3'000};
    // A fraction of the intervals of the schedule that apply.
    static constexpr base::clock::duration urgent_check_interval{50};
    static constexpr base::clock::duration idle_check_interval{100};
    static constexpr base::clock::duration max_observation_age{600};
    // The transport receives at most 2,048 bytes.
    static constexpr std::size_t max_message_bytes = 1'900;

    control_context<Platform>& control_;
    daemons::udp_transport transport_;
    peer_round peer_round_;
    pending_request leader_request_;
    std::optional<base::clock::time_point> surveyed_at_;
    std::map<std::string, std::map<std::string, timed_observation>> peer_observations_;
    /// When the last message of each daemon arrived, by address.
    std::map<std::string, base::clock::time_point> last_message_at_;
    std::map<std::string, stop_confirmations> stop_confirmations_;
    /// Revision of the last record for which this daemon stopped using the primary, by service.
    std::map<std::string, base::store_revision> stopped_revisions_;
    /// The daemons that have answered in a history of the store before its records were confirmed.
    std::set<std::string> responders_;
    base::store_era responders_era_ = base::store_era::unstated;
    std::uint64_t last_number_ = 0;
    bool is_suspecting_ = false;
    quota_exchange<Platform> quota_;
};

} // namespace proxy
