#include <operators/publishing.hpp>

#include <operators/configuration_codec.hpp>
#include <operators/file_format.hpp>
#include <operators/text_check.hpp>

#include <utility>

namespace operators {

namespace {

// With pauses of 250, 500, 1000 and 2000 ms the operator waits at most 4 s for a store that does not answer,
// plus the time limits of the calls themselves.
constexpr std::uint32_t most_failed_reads = 5;
constexpr base::clock::duration first_pause{250};
// A put is repeated only after a read that shows that nothing has replaced the expected revision.
constexpr std::uint32_t most_puts = 4;

publishing_decision finish(const publishing_state& state, publishing_report report) {
    return {state, finish_publishing{std::move(report)}};
}

publishing_decision fail(const publishing_state& state, base::error reason) {
    return finish(state, {publishing_result::failed, 0, "", std::move(reason)});
}

std::string describe_holder(const std::string& publisher, std::uint64_t revision) {
    return "revision " + std::to_string(revision) + " of " + publisher + " is in force";
}

base::error conflict(std::string message) {
    return base::error{base::error_kind::publish_conflict, std::move(message)};
}

publishing_decision report_loss(const publishing_state& state, const configuration& present) {
    const auto holder = describe_holder(present->publisher_, present->revision_);
    if (state->is_put_unresolved_) {
        return finish(state, {publishing_result::overtaken, present->revision_, present->publisher_,
                              conflict(holder + "; an answer of the store was lost, so this publication may "
                                                "have been in force before")});
    }
    return finish(state, {publishing_result::lost_race, present->revision_, present->publisher_,
                          conflict(holder + " and this publication is not")});
}

publishing_decision put(const publishing_state& state, std::uint64_t expected_revision) {
    if (state->puts_ >= most_puts) {
        return fail(state, base::error{base::error_kind::answer_lost,
                                       "the store confirmed none of " + std::to_string(most_puts) +
                                           " attempts and the publication is not in force; it may still "
                                           "take effect"});
    }
    auto next = state.with([expected_revision](publishing_state_fields& fields) {
        fields.expected_revision_ = expected_revision;
        fields.puts_ += 1;
    });
    auto value = encode_configuration(state->publication_.wanted_);
    return {std::move(next), put_key{std::move(value), expected_revision}};
}

// The first read: nothing was written yet.
publishing_decision decide_first(const publishing_state& state, const value_was_read& read,
                                 const std::optional<configuration>& present) {
    const auto revision = read.found_ ? read.revision_ : 0;
    const auto& based_on = state->publication_.based_on_;
    if (present && fingerprint_of(*present) == state->fingerprint_) {
        return finish(state,
                      {publishing_result::already_in_force, revision, (*present)->publisher_, std::nullopt});
    }
    if (based_on && *based_on != revision) {
        const auto holder = present ? describe_holder((*present)->publisher_, revision)
                                    : "revision " + std::to_string(revision) + " is in force";
        return finish(state, {publishing_result::lost_race, revision, present ? (*present)->publisher_ : "",
                              conflict(holder + ", not revision " + std::to_string(*based_on) +
                                       " on which this publication is based")});
    }
    return put(state, revision);
}

// A read after a put that was refused or left without an answer.
publishing_decision decide_read_back(const publishing_state& state, const value_was_read& read,
                                     const std::optional<configuration>& present) {
    const auto revision = read.found_ ? read.revision_ : 0;
    if (revision == state->expected_revision_) {
        return put(state, revision);
    }
    if (!present) {
        return fail(state, conflict("someone removed the key or wrote revision " + std::to_string(revision) +
                                    ", which this version cannot read"));
    }
    if (fingerprint_of(*present) != state->fingerprint_) {
        return report_loss(state, *present);
    }
    const bool is_own =
        state->is_put_unresolved_ && (*present)->publisher_ == state->publication_.wanted_->publisher_;
    return finish(state, {is_own ? publishing_result::published : publishing_result::already_in_force,
                          revision, (*present)->publisher_, std::nullopt});
}

publishing_decision decide_on(const publishing_state& state, const value_was_read& read) {
    const auto answered = state.with([](publishing_state_fields& fields) { fields.failed_reads_ = 0; });
    std::optional<configuration> present;
    if (read.found_) {
        auto decoded = decode_stored_configuration(read.value_, read.revision_);
        // Content of an unknown kind is replaced only by an operator who names its revision.
        if (!decoded && !state->expected_revision_ && state->publication_.based_on_ != read.revision_) {
            return fail(answered, base::error{decoded.last_reason().kind(),
                                              "revision " + std::to_string(read.revision_) +
                                                  " in the store cannot be read and was left as it is: " +
                                                  decoded.last_reason().message()});
        }
        present = decoded.value();
    }
    return state->expected_revision_ ? decide_read_back(answered, read, present)
                                     : decide_first(answered, read, present);
}

publishing_decision decide_on(const publishing_state& state, const put_was_answered& put) {
    if (put.applied_) {
        return finish(state, {publishing_result::published, put.revision_,
                              state->publication_.wanted_->publisher_, std::nullopt});
    }
    return {state, read_key{}};
}

publishing_decision decide_on(const publishing_state& state, const read_has_failed& failure) {
    const auto next = state.with([](publishing_state_fields& fields) { fields.failed_reads_ += 1; });
    if (next->failed_reads_ < most_failed_reads) {
        return {next, read_key{first_pause * (1U << (next->failed_reads_ - 1))}};
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

publishing_decision decide_on(const publishing_state& state, const put_has_failed& /*failure*/) {
    const auto next = state.with([](publishing_state_fields& fields) { fields.is_put_unresolved_ = true; });
    return {next, read_key{first_pause}};
}

bool is_publisher_valid(const std::string& name) {
    return !name.empty() && name.size() <= most_name_bytes && is_utf8(name) && !has_control_character(name);
}

} // namespace

publishing_decision start_publishing(publication wanted) {
    auto fingerprint = fingerprint_of(wanted.wanted_);
    const publishing_state state{publishing_state_fields{.publication_ = std::move(wanted),
                                                         .fingerprint_ = std::move(fingerprint),
                                                         .expected_revision_ = std::nullopt}};
    const auto& configured = state->publication_.wanted_;
    if (!is_publisher_valid(configured->publisher_)) {
        return fail(state, base::error{base::error_kind::invalid_request,
                                       "the publisher's name is empty, longer than 64 bytes or not "
                                       "printable UTF-8"});
    }
    const auto size = encode_configuration(configured).size();
    if (size > most_stored_bytes) {
        return fail(state,
                    base::error{base::error_kind::too_large, "the configuration has " + std::to_string(size) +
                                                                 " bytes and the store holds " +
                                                                 std::to_string(most_stored_bytes)});
    }
    return {state, read_key{}};
}

publishing_decision decide_publishing(const publishing_state& state, const publishing_event& event) {
    return std::visit([&state](const auto& happened) { return decide_on(state, happened); }, event);
}

std::string_view remedy_for(const publishing_report& report) noexcept {
    if (!report.error_) {
        return "";
    }
    switch (report.error_->kind()) {
    // These kinds have a remedy for requests of callers, which does not fit a publication.
    case base::error_kind::answer_lost:
        return "publish the same declarations again when the store answers; that is harmless";
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
