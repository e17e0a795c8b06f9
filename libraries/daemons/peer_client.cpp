#include <daemons/peer_client.hpp>

#include <daemons/message_codec.hpp>
#include <daemons/peer_link.hpp>

namespace daemons {

namespace asio = boost::asio;

namespace {

// Returns the error for a response of the wrong type or with an invalid body. The peer may have run the
// request nevertheless.
base::error invalid_response(const base::endpoint& peer, const std::string& reason) {
    return base::error{base::error_kind::answer_lost,
                       "the response of peer " + peer.to_string() + " is invalid: " + reason};
}

template <typename Message>
base::result<Message> read_response(const base::endpoint& peer, const base::result<frame>& response,
                                    frame_type expected) {
    if (!response) {
        return response.last_reason();
    }
    if (response->type() == frame_type::failure) {
        const auto refused = decode_message<refusal>(response->body());
        if (!refused) {
            return invalid_response(peer, refused.last_reason().message());
        }
        const auto& fields = **refused;
        return base::error{fields.kind_, fields.message_};
    }
    if (response->type() != expected) {
        return invalid_response(peer, "its type does not match the request");
    }
    auto decoded = decode_message<Message>(response->body());
    if (!decoded) {
        return invalid_response(peer, decoded.last_reason().message());
    }
    return decoded;
}

} // namespace

bool may_have_run(const base::error& failure) noexcept {
    return failure.kind() == base::error_kind::answer_lost;
}

peer_client::peer_client(asio::any_io_executor executor, peer_limits limits, std::uint64_t seed)
    : executor_{std::move(executor)}, limits_{limits}, random_{seed} {}

peer_client::~peer_client() = default;

asio::awaitable<base::result<base::response>> peer_client::forward(base::endpoint peer, base::request message,
                                                                   base::clock::duration timeout) {
    auto body = encode_message(message);
    const auto response = co_await send_request(peer, frame_type::request, std::move(body), timeout);
    co_return read_response<base::response>(peer, response, frame_type::response);
}

asio::awaitable<base::result<reachability>>
peer_client::check_suspicion(base::endpoint peer, suspicion_check request, base::clock::duration timeout) {
    auto body = encode_message(request);
    const auto response = co_await send_request(peer, frame_type::suspicion_check, std::move(body), timeout);
    co_return read_response<reachability>(peer, response, frame_type::suspicion_verdict);
}

asio::awaitable<base::result<configuration_offer>>
peer_client::fetch_configuration(base::endpoint peer, std::uint64_t known_revision,
                                 base::clock::duration timeout) {
    const configuration_fetch request{configuration_fetch_fields{known_revision}};
    auto body = encode_message(request);
    const auto response =
        co_await send_request(peer, frame_type::configuration_fetch, std::move(body), timeout);
    co_return read_response<configuration_offer>(peer, response, frame_type::configuration_offer);
}

asio::awaitable<base::result<frame>> peer_client::send_request(base::endpoint peer, frame_type type,
                                                               std::string body,
                                                               base::clock::duration timeout) {
    const auto deadline = base::clock::now() + timeout;
    const auto link = link_to(peer);
    const std::uint64_t entropy = random_();
    auto connection = co_await link->acquire(deadline, entropy);
    if (!connection) {
        co_return connection.last_reason();
    }
    const auto usable = *connection;
    const auto left = deadline - base::clock::now();
    co_return co_await usable->send_request(type, std::move(body), left);
}

std::shared_ptr<peer_link> peer_client::link_to(const base::endpoint& peer) {
    const auto found = links_.find(peer);
    if (found != links_.end()) {
        return found->second;
    }
    // Hosts join and leave for as long as the daemon runs, so links to former ones are removed.
    const auto now = base::clock::now();
    std::erase_if(links_, [now](const auto& entry) {
        return entry.second.use_count() == 1 && entry.second->is_idle(now);
    });
    return links_.emplace(peer, std::make_shared<peer_link>(executor_, peer, limits_)).first->second;
}

std::optional<base::clock::duration> peer_client::find_throttle_delay(const base::endpoint& peer,
                                                                      std::string_view group,
                                                                      std::string_view rank,
                                                                      base::database_role role) {
    const auto found = links_.find(peer);
    const auto* table = found == links_.end() ? nullptr : found->second->throttles();
    return table == nullptr ? std::nullopt
                            : table->find_refusal(group, rank, role, base::clock::now(), random_());
}

void peer_client::close() {
    for (const auto& [peer, link] : links_) {
        link->close();
    }
}

} // namespace daemons
