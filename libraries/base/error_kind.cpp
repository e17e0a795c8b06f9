#include <base/error_kind.hpp>

#include <algorithm>
#include <array>

namespace base {

namespace {

struct error_description {
    error_kind kind_;
    std::string_view name_;
    std::string_view remedy_;
};

constexpr std::array error_descriptions{
    error_description{error_kind::invalid_request, "invalid_request",
                      "correct the named field and send the request again"},
    error_description{error_kind::too_large, "too_large", "send a smaller request or split it"},
    error_description{error_kind::unknown_service, "unknown_service",
                      "publish a declaration for the service or correct its name"},
    error_description{error_kind::unknown_rank, "unknown_rank",
                      "use a rank that the service's declaration lists"},
    error_description{error_kind::unknown_transaction, "unknown_transaction",
                      "begin a new transaction; the old one was rolled back"},
    error_description{error_kind::token_invalid, "token_invalid",
                      "discard the session token and start a new session"},
    error_description{error_kind::token_foreign, "token_foreign",
                      "send the token that this service returned, not one of another service"},
    error_description{error_kind::key_conflict, "key_conflict",
                      "use a new idempotency key for a request with other content"},
    error_description{error_kind::key_cancelled, "key_cancelled",
                      "the request was not run; send it again under a new idempotency key"},
    error_description{error_kind::statement_invalid, "statement_invalid",
                      "correct the statement that the database refused"},
    error_description{error_kind::deadline_expired, "deadline_expired",
                      "send the request again with a longer deadline, or later"},
    error_description{error_kind::overloaded, "overloaded", "wait for the time in Retry-After and try again"},
    error_description{error_kind::no_primary, "no_primary",
                      "try again in a few seconds; a takeover of the database group is under way"},
    error_description{error_kind::term_stale, "term_stale",
                      "try again; the database group has a new primary"},
    error_description{error_kind::backend_unavailable, "backend_unavailable",
                      "try again in a few seconds; check the group with sassafrasctl status"},
    error_description{error_kind::answer_lost, "answer_lost",
                      "ask /v1/outcome with the idempotency key; without a key, read back before repeating"},
    error_description{error_kind::transaction_aborted, "transaction_aborted",
                      "begin the transaction again; its changes were rolled back"},
    error_description{error_kind::shutting_down, "shutting_down",
                      "connect again; the balancer chooses another entry host"},
    error_description{error_kind::peer_unavailable, "peer_unavailable",
                      "try again in a few seconds; check the members with sassafrasctl status"},
    error_description{error_kind::frame_invalid, "frame_invalid",
                      "run the same version of sassafrasdeald on both hosts"},
    error_description{error_kind::platform_unavailable, "platform_unavailable",
                      "try again when the platform's store answers; requests are served meanwhile"},
    error_description{error_kind::history_lost, "history_lost",
                      "read the present content and watch from its revision"},
    error_description{error_kind::publish_conflict, "publish_conflict",
                      "fetch the winner's declarations, merge them and publish again"},
    error_description{error_kind::settings_invalid, "settings_invalid",
                      "correct the named key in the settings file"},
    error_description{error_kind::declaration_invalid, "declaration_invalid",
                      "correct the named key in the declaration file"},
    error_description{error_kind::not_found, "not_found", "check the path against the documentation"},
    error_description{error_kind::timeout, "timeout", "try again, or increase the timeout"},
    error_description{error_kind::connection_failed, "connection_failed",
                      "check that the host is up and the address is right"},
    error_description{error_kind::internal, "internal",
                      "report the event log of this daemon to its developers"},
};

const error_description& description_of(error_kind kind) noexcept {
    const auto* found = std::find_if(error_descriptions.begin(), error_descriptions.end(),
                                     [kind](const auto& description) { return description.kind_ == kind; });
    return found == error_descriptions.end() ? error_descriptions.back() : *found;
}

} // namespace

std::string_view name_of(error_kind kind) noexcept {
    return description_of(kind).name_;
}

std::string_view remedy_for(error_kind kind) noexcept {
    return description_of(kind).remedy_;
}

error_kind error_kind_from_name(std::string_view name) noexcept {
    const auto* found = std::find_if(error_descriptions.begin(), error_descriptions.end(),
                                     [name](const auto& description) { return description.name_ == name; });
    return found == error_descriptions.end() ? error_kind::internal : found->kind_;
}

} // namespace base
