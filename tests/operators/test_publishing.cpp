#include <operators/configuration_codec.hpp>
#include <operators/publish.hpp>
#include <tests/operators/samples.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <deque>

namespace {

namespace asio = boost::asio;
using operators::publishing_result;

operators::publication publication_of(const std::string& publisher, const std::string& service) {
    operators::configuration_fields fields;
    fields.publisher_ = publisher;
    fields.services_ = {samples::declare(service, 9000)};
    return {operators::configuration{fields}, std::nullopt};
}

// A store as the platform promises it, with the revisions that it ever accepted.
class model_store {
public:
    [[nodiscard]] operators::value_was_read read() const {
        return accepted_.empty() ? operators::value_was_read{}
                                 : operators::value_was_read{true, accepted_.back(), accepted_.size()};
    }

    operators::put_was_answered put_if(const operators::put_key& put) {
        const bool applies = put.expected_revision_ == accepted_.size();
        if (applies) {
            accepted_.push_back(put.value_);
        }
        return {applies, accepted_.size()};
    }

    [[nodiscard]] std::string publisher_of(std::uint64_t revision) const {
        return (*operators::decode_configuration(accepted_.at(revision - 1)))->publisher_;
    }

    [[nodiscard]] bool ever_accepted(const std::string& publisher) const {
        for (std::uint64_t revision = 1; revision <= accepted_.size(); ++revision) {
            if (publisher_of(revision) == publisher) {
                return true;
            }
        }
        return false;
    }

private:
    std::vector<std::string> accepted_;
};

enum class fault : std::uint8_t { none, lost_before, lost_after, delayed };

// Several publishers over one store; a script of bytes chooses who goes on and which answers are lost.
class race {
public:
    explicit race(std::size_t publishers) {
        for (std::size_t number = 0; number < publishers; ++number) {
            const auto name = "publisher" + std::to_string(number);
            publishers_.push_back(operators::start_publishing(publication_of(name, name)));
        }
    }

    // Lets every publisher read before any of them writes.
    void read_all() {
        for (auto& one : publishers_) {
            one = operators::decide_publishing(one.state_, store_.read());
        }
    }

    void run(const std::vector<std::uint8_t>& script) {
        for (const auto byte : script) {
            step(publishers_[byte % publishers_.size()], static_cast<fault>(byte / 16 % 4));
            if (byte >= 192) {
                deliver_delayed();
            }
        }
        deliver_delayed();
        for (auto& one : publishers_) {
            while (!is_finished(one)) {
                step(one, fault::none);
            }
        }
    }

    [[nodiscard]] std::vector<operators::publishing_report> reports() const {
        std::vector<operators::publishing_report> found;
        for (const auto& one : publishers_) {
            found.push_back(std::get<operators::finish_publishing>(one.action_).report_);
        }
        return found;
    }

    [[nodiscard]] const model_store& store() const { return store_; }

private:
    static bool is_finished(const operators::publishing_decision& one) {
        return std::holds_alternative<operators::finish_publishing>(one.action_);
    }

    void step(operators::publishing_decision& one, fault kind) {
        if (is_finished(one)) {
            return;
        }
        const base::error lost{base::error_kind::timeout, "no answer"};
        operators::publishing_event event = operators::read_has_failed{lost};
        if (const auto* put = std::get_if<operators::put_key>(&one.action_)) {
            if (kind == fault::none) {
                event = store_.put_if(*put);
            } else {
                event = operators::put_has_failed{lost};
                if (kind == fault::lost_after) {
                    store_.put_if(*put);
                } else if (kind == fault::delayed) {
                    delayed_.push_back(*put);
                }
            }
        } else if (kind != fault::lost_before) {
            event = store_.read();
        }
        one = operators::decide_publishing(one.state_, event);
    }

    void deliver_delayed() {
        for (const auto& put : delayed_) {
            store_.put_if(put);
        }
        delayed_.clear();
    }

    model_store store_;
    std::vector<operators::publishing_decision> publishers_;
    std::vector<operators::put_key> delayed_;
};

struct fake_read {
    bool found_ = false;
    std::string value_;
    std::uint64_t revision_ = 0;
};

struct fake_put {
    bool applied_ = false;
    std::uint64_t revision_ = 0;
};

// A client whose next answers fail as listed; `lost_after` applies a put first.
struct fake_client {
    asio::awaitable<base::result<fake_read>> get(std::string key) {
        EXPECT_EQ(key, operators::configuration_key);
        if (next_fault() != fault::none) {
            co_return base::error{base::error_kind::connection_failed, "the store is down"};
        }
        const auto read = store_.read();
        fake_read response;
        response.found_ = read.found_;
        response.value_ = read.value_;
        response.revision_ = read.revision_;
        co_return response;
    }

    asio::awaitable<base::result<fake_put>> put_if(std::string key, std::string value,
                                                   std::uint64_t expected_revision) {
        EXPECT_EQ(key, operators::configuration_key);
        const auto kind = next_fault();
        const operators::put_key put{std::move(value), expected_revision};
        if (kind == fault::lost_before) {
            co_return base::error{base::error_kind::timeout, "no answer"};
        }
        const auto response = store_.put_if(put);
        if (kind == fault::lost_after) {
            co_return base::error{base::error_kind::timeout, "no answer"};
        }
        fake_put result;
        result.applied_ = response.applied_;
        result.revision_ = response.revision_;
        co_return result;
    }

    fault next_fault() {
        if (faults_.empty()) {
            return fault::none;
        }
        const auto next = faults_.front();
        faults_.pop_front();
        return next;
    }

    model_store store_;
    std::deque<fault> faults_;
};

static_assert(operators::configuration_store<fake_client>);

struct no_pause {
    asio::awaitable<void> operator()(base::clock::duration length) {
        waited_ += length;
        co_return;
    }
    base::clock::duration waited_{0};
};

operators::publishing_report publish_to(fake_client& client, const operators::publication& wanted) {
    asio::io_context context;
    operators::publishing_report report;
    no_pause pause;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> { report = co_await operators::publish(client, wanted, pause); },
        asio::detached);
    context.run();
    EXPECT_LE(pause.waited_, base::clock::duration{10'000});
    return report;
}

} // namespace

// Guards against two winners or none when operators race and answers are lost.
TEST(publishing, racing_publishers_with_lost_responses_have_exactly_one_winner) {
    EXPECT_TRUE(rc::check("one winner", [](std::vector<std::uint8_t> script) {
        // Three put attempts of four may be lost for each publisher, so that none of them gives up.
        script.resize(std::min<std::size_t>(script.size(), 6));
        race all{3};
        all.read_all();
        all.run(script);
        std::size_t winners = 0;
        for (const auto& report : all.reports()) {
            winners += report.result_ == publishing_result::published ? 1 : 0;
            RC_ASSERT(report.result_ != publishing_result::failed);
            RC_ASSERT(report.revision_ == 1U);
            RC_ASSERT(report.publisher_ == all.store().publisher_of(1));
        }
        RC_ASSERT(winners == 1U);
    }));
}

// Guards against reports that claim more than the store did, under any order of steps and any lost answers.
TEST(publishing, no_report_claims_what_the_store_did_not_do) {
    EXPECT_TRUE(rc::check("reports match the history", [](const std::vector<std::uint8_t>& script) {
        race all{4};
        all.run(script);
        const auto reports = all.reports();
        for (std::size_t number = 0; number < reports.size(); ++number) {
            const auto& report = reports[number];
            const auto name = "publisher" + std::to_string(number);
            RC_ASSERT(report.result_ != publishing_result::already_in_force);
            if (report.result_ == publishing_result::published) {
                RC_ASSERT(all.store().publisher_of(report.revision_) == name);
            } else if (report.result_ == publishing_result::lost_race) {
                RC_ASSERT(!all.store().ever_accepted(name));
                RC_ASSERT(all.store().publisher_of(report.revision_) == report.publisher_);
            } else if (report.result_ == publishing_result::overtaken) {
                RC_ASSERT(all.store().publisher_of(report.revision_) == report.publisher_);
            } else if (report.error_->kind() == base::error_kind::platform_unavailable) {
                RC_ASSERT(!all.store().ever_accepted(name));
            } else {
                RC_ASSERT(report.error_->kind() == base::error_kind::answer_lost);
            }
        }
    }));
}

// Guards against a publication that is sent again after its answer was lost although it took effect.
TEST(publishing, a_lost_response_is_resolved_by_reading_back) {
    fake_client client;
    client.faults_ = {fault::none, fault::lost_after, fault::lost_before};
    const auto report = publish_to(client, publication_of("ana", "ledger"));
    EXPECT_EQ(report.result_, publishing_result::published) << to_string(report);
    EXPECT_EQ(report.revision_, 1U);
    EXPECT_EQ(client.store_.read().revision_, 1U);
}

// Guards against a second revision for the same declarations.
TEST(publishing, the_same_content_again_is_harmless_and_says_so) {
    fake_client client;
    EXPECT_EQ(publish_to(client, publication_of("ana", "ledger")).result_, publishing_result::published);
    const auto again = publish_to(client, publication_of("ivo", "ledger"));
    EXPECT_EQ(again.result_, publishing_result::already_in_force);
    EXPECT_EQ(again.publisher_, "ana");
    EXPECT_FALSE(again.error_);
    EXPECT_EQ(client.store_.read().revision_, 1U);
}

// Guards against an operator whose declarations rest on an older revision and revert a newer one.
TEST(publishing, a_publication_based_on_another_revision_is_told_who_won) {
    fake_client client;
    publish_to(client, publication_of("ana", "ledger"));
    auto stale = publication_of("ivo", "board");
    stale.based_on_ = 0;
    const auto report = publish_to(client, stale);
    EXPECT_EQ(report.result_, publishing_result::lost_race);
    EXPECT_EQ(report.error_->kind(), base::error_kind::publish_conflict);
    EXPECT_NE(to_string(report).find("revision 1 of ana"), std::string::npos);
    EXPECT_NE(to_string(report).find("merge them and publish again"), std::string::npos);
    stale.based_on_ = 1;
    EXPECT_EQ(publish_to(client, stale).result_, publishing_result::published);
}

// Guards against endless attempts and guessed results during an outage of the store.
TEST(publishing, an_outage_ends_in_a_typed_error) {
    fake_client down;
    down.faults_.assign(100, fault::lost_before);
    const auto unsent = publish_to(down, publication_of("ana", "ledger"));
    EXPECT_EQ(unsent.error_->kind(), base::error_kind::platform_unavailable);
    fake_client lost;
    lost.faults_.assign(100, fault::lost_before);
    lost.faults_.front() = fault::none;
    lost.faults_[1] = fault::lost_after;
    const auto sent = publish_to(lost, publication_of("ana", "ledger"));
    EXPECT_EQ(sent.error_->kind(), base::error_kind::answer_lost) << to_string(sent);
    // The remedy for a caller's lost answer names an interface that has no publications.
    EXPECT_EQ(to_string(sent).find("idempotency"), std::string::npos);
    EXPECT_NE(to_string(sent).find("publish the same declarations again"), std::string::npos);
}

// Guards against overwriting content of a later version, and against a key that can never be repaired.
TEST(publishing, unreadable_content_is_replaced_only_by_naming_its_revision) {
    fake_client client;
    client.store_.put_if({"not a configuration", 0});
    auto wanted = publication_of("ana", "ledger");
    EXPECT_EQ(publish_to(client, wanted).error_->kind(), base::error_kind::declaration_invalid);
    EXPECT_EQ(client.store_.read().revision_, 1U);
    wanted.based_on_ = 1;
    EXPECT_EQ(publish_to(client, wanted).result_, publishing_result::published);
}

// Guards against values that the store cannot hold and publishers that a reader of the report cannot see.
TEST(publishing, impossible_publications_are_refused_before_any_call) {
    fake_client client;
    client.faults_.assign(1, fault::lost_before);
    for (const auto* name : {"", "\xFF", "a\nb"}) {
        const auto report = publish_to(client, publication_of(name, "ledger"));
        EXPECT_EQ(report.error_->kind(), base::error_kind::invalid_request);
    }
    auto large = publication_of("ana", "ledger");
    large.wanted_ = large.wanted_.with(
        [](auto& fields) { fields.services_.assign(3000, samples::declare("ledger", 9000)); });
    EXPECT_EQ(publish_to(client, large).error_->kind(), base::error_kind::too_large);
    EXPECT_EQ(client.faults_.size(), 1U);
}
