#include <operators/publishing.hpp>

#include <operators/configuration_codec.hpp>
#include <operators/file_format.hpp>
#include <operators/text_check.hpp>

#include <utility>

namespace operators {

namespace {

// With delays of 250, 500, 1000 and 2000 ms the operator waits at most 4 s for a store that does not respond,
// plus the timeouts of the calls themselves.
constexpr std::uint32_t max_failed_reads = 5;
constexpr base::clock::duration initial_read_delay{250};
// A put is retried only after a read has shown that the expected revision has not been replaced.
constexpr std::uint32_t max_puts = 4;

publishing_decision finish(const publishing_state& state, publishing_report report) {
    return {state, finish_publishing{std::move(report)}};
}

publishing_decision fail(const publishing_state& state, base::error reason) {
    return finish(state, {publishing_result::failed, 0, "", std::move(reason)});
}

std::string describe_revision(const std::string& publisher, std::uint64_t revision) {
    return "revision " + std::to_string(revision) + " of " + publisher + " is in force";
}

base::error conflict(std::string message) {
    return base::error{base::error_kind::publish_conflict, std::move(message)};
}

publishing_decision report_conflict(const publishing_state& state, const configuration& current) {
    const auto in_force = describe_revision(current->publisher_, current->revision_);
    if (state->is_put_unresolved_) {
        return finish(state,
                      {publishing_result::overtaken, current->revision_, current->publisher_,
                       conflict(in_force + "; a response of the store was lost, so this publication may "
                                           "have been in force before")});
    }
    return finish(state, {publishing_result::lost_race, current->revision_, current->publisher_,
                          conflict(in_force + " and this publication is not")});
}

publishing_decision put(const publishing_state& state, std::uint64_t expected_revision) {
    if (state->puts_ >= max_puts) {
        return fail(state, base::error{base::error_kind::answer_lost,
                                       "the store confirmed none of " + std::to_string(max_puts) +
                                           " attempts and the publication is not in force; it may still "
                                           "take effect"});
    }
    auto next = state.with([expected_revision](publishing_state_fields& fields) {
        fields.expected_revision_ = expected_revision;
        fields.puts_ += 1;
    });
    auto value = encode_configuration(state->publication_.configuration_);
    return {std::move(next), put_key{std::move(value), expected_revision}};
}

// Handles the first read, before anything was written.
publishing_decision decide_after_first_read(const publishing_state& state, const read_completed& read,
                                            const std::optional<configuration>& current) {
    const auto revision = read.found_ ? read.revision_ : 0;
    const auto& based_on = state->publication_.based_on_;
    if (current && fingerprint_of(*current) == state->fingerprint_) {
        return finish(state,
                      {publishing_result::already_in_force, revision, (*current)->publisher_, std::nullopt});
    }
    if (based_on && *based_on != revision) {
        const auto in_force = current ? describe_revision((*current)->publisher_, revision)
                                      : "revision " + std::to_string(revision) + " is in force";
        return finish(state, {publishing_result::lost_race, revision, current ? (*current)->publisher_ : "",
                              conflict(in_force + ", not revision " + std::to_string(*based_on) +
                                       " on which this publication is based")});
    }
    return put(state, revision);
}

// Handles a read after a put that was rejected or received no response.
publishing_decision decide_after_read_back(const publishing_state& state, const read_completed& read,
                                           const std::optional<configuration>& current) {
    const auto revision = read.found_ ? read.revision_ : 0;
    if (revision == state->expected_revision_) {
        return put(state, revision);
    }
    if (!current) {
        return fail(state, conflict("the key was removed or overwritten with revision " +
                                    std::to_string(revision) + ", which this version cannot read"));
    }
    if (fingerprint_of(*current) != state->fingerprint_) {
        return report_conflict(state, *current);
    }
    const bool is_own =
        state->is_put_unresolved_ && (*current)->publisher_ == state->publication_.configuration_->publisher_;
    return finish(state, {is_own ? publishing_result::published : publishing_result::already_in_force,
                          revision, (*current)->publisher_, std::nullopt});
}

publishing_decision decide_on(const publishing_state& state, const read_completed& read) {
    const auto next = state.with([](publishing_state_fields& fields) { fields.failed_reads_ = 0; });
    std::optional<configuration> current;
    if (read.found_) {
        auto decoded = decode_stored_configuration(read.value_, read.revision_);
        // Content that cannot be decoded is replaced only if the operator specifies its revision.
        if (!decoded && !state->expected_revision_ && state->publication_.based_on_ != read.revision_) {
            return fail(next, base::error{decoded.last_reason().kind(),
                                          "revision " + std::to_string(read.revision_) +
                                              " in the store cannot be decoded and was not changed: " +
                                              decoded.last_reason().message()});
        }
        current = decoded.value();
    }
    return state->expected_revision_ ? decide_after_read_back(next, read, current)
                                     : decide_after_first_read(next, read, current);
}

publishing_decision decide_on(const publishing_state& state, const put_completed& put) {
    if (put.applied_) {
        return finish(state, {publishing_result::published, put.revision_,
                              state->publication_.configuration_->publisher_, std::nullopt});
    }
    return {state, read_key{}};
}

publishing_decision decide_on(const publishing_state& state, const read_failed& failure) {
    const auto next = state.with([](publishing_state_fields& fields) { fields.failed_reads_ += 1; });
    if (next->failed_reads_ < max_failed_reads) {
        return {next, read_key{initial_read_delay * (1U << (next->failed_reads_ - 1))}};
    }
    const auto& reason = failure.reason_.message();
    if (state->is_put_unresolved_) {
        return fail(next, base::error{base::error_kind::answer_lost,
                                      "the publication was sent, but the store does not answer (" + reason +
                                          "); it may take effect"});
    }
    return fail(next,
                base::error{base::error_kind::platform_unavailable,
                            "the store does not answer (" + reason + "); this publication is not in force"});
}

publishing_decision decide_on(const publishing_state& state, const put_failed& /*failure*/) {
    const auto next = state.with([](publishing_state_fields& fields) { fields.is_put_unresolved_ = true; });
    return {next, read_key{initial_read_delay}};
}

bool is_publisher_valid(const std::string& name) {
    return !name.empty() && name.size() <= max_name_bytes && is_utf8(name) && !has_control_character(name);
}

} // namespace

publishing_decision start_publishing(publication request) {
    auto fingerprint = fingerprint_of(request.configuration_);
    const publishing_state state{publishing_state_fields{.publication_ = std::move(request),
                                                         .fingerprint_ = std::move(fingerprint),
                                                         .expected_revision_ = std::nullopt}};
    const auto& configured = state->publication_.configuration_;
    if (!is_publisher_valid(configured->publisher_)) {
        return fail(state, base::error{base::error_kind::invalid_request,
                                       "the publisher's name is empty, longer than 64 bytes or not "
                                       "printable UTF-8"});
    }
    const auto size = encode_configuration(configured).size();
    if (size > max_stored_bytes) {
        return fail(state, base::error{base::error_kind::too_large,
                                       "the configuration has " + std::to_string(size) +
                                           " bytes and the store holds " + std::to_string(max_stored_bytes)});
    }
    return {state, read_key{}};
}

publishing_decision decide_publishing(const publishing_state& state, const publishing_event& event) {
    return std::visit([&state](const auto& completed) { return decide_on(state, completed); }, event);
}

std::string_view remedy_for(const publishing_report& report) noexcept {
    if (!report.error_) {
        return "";
    }
    switch (report.error_->kind()) {
    // The general remedies of these kinds apply to requests of callers, not to publications.
    case base::error_kind::answer_lost:
        return "publish the same declarations again when the store responds; repeating a publication is safe";
    case base::error_kind::declaration_invalid:
        return "use the newer version of the tool, or replace the content with --based_on its revision";
    case base::error_kind::too_large:
        return "shorten or remove declarations";
    case base::error_kind::invalid_request:
        return "correct the publisher's name";
    default:
        return report.error_->remedy();
    }
}

std::string to_string(const publishing_report& report) {
    const auto revision = std::to_string(report.revision_);
    const auto fault = report.error_ ? report.error_->message() + "; " + std::string{remedy_for(report)} : "";
    switch (report.result_) {
    case publishing_result::published:
        return "published: revision " + revision + " is in force";
    case publishing_result::already_in_force:
        return "already in force: revision " + revision + " of " + report.publisher_ +
               " has the same declarations; nothing to do";
    case publishing_result::lost_race:
        return "lost the race: " + fault;
    case publishing_result::overtaken:
        return "overtaken: " + fault;
    case publishing_result::failed:
        return "failed: " + std::string{base::name_of(report.error_->kind())} + ": " + fault;
    }
    return "";
}

} // namespace operators
