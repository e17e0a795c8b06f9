#include <http/server.hpp>
#include <utilities/sassafras_load/arrival_schedule.hpp>
#include <utilities/sassafras_load/load_thread.hpp>
#include <utilities/sassafras_load/profile_reader.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <set>
#include <thread>

namespace {

namespace asio = boost::asio;

using sassafras_load::arrival;

const base::endpoint local{"127.0.0.1", 7190};

struct answering_handler {
    asio::awaitable<http::response> operator()(http::request /*message*/, std::size_t /*connection*/) {
        co_return http::json_response(200, R"({"outcome":"done","results":["v"],"session":"token"})");
    }
};

// A server on a thread of its own that answers every request as done.
class answering_server {
public:
    answering_server() {
        auto socket = http::listener::open(context_.get_executor(), local);
        EXPECT_TRUE(socket);
        server_ = std::make_shared<http::server<answering_handler>>(
            context_.get_executor(), std::move(*socket), answering_handler{}, http::limits{}, nullptr, 100);
        server_->start();
        thread_ = std::jthread{[this] {
            context_.run();
        }};
    }
    ~answering_server() { context_.stop(); }
    answering_server(const answering_server&) = delete;
    answering_server& operator=(const answering_server&) = delete;
    answering_server(answering_server&&) = delete;
    answering_server& operator=(answering_server&&) = delete;

private:
    asio::io_context context_{1};
    std::shared_ptr<http::server<answering_handler>> server_;
    std::jthread thread_;
};

sassafras_load::profile small_profile() {
    const auto document = base::ini_document::parse("[run]\nseed = 3\nseconds = 1\nsessions = 4\n"
                                                    "[work write]\nservice = s\ntenants = a, b\nrank = r\n"
                                                    "access = write\nrate = 50\nidempotency_key = yes\n"
                                                    "repeat_percent = 100\nstatements = set k{key} {value}\n",
                                                    "small.ini");
    return *sassafras_load::read_profile(*document);
}

sassafras_load::load_plan small_plan() {
    return sassafras_load::load_plan_fields{.profile_ = small_profile(),
                                            .daemons_ = {local},
                                            .threads_ = 1,
                                            .most_open_ = 100,
                                            .run_name_ = "run",
                                            .history_ = sassafras_load::history_use::keep,
                                            .start_ = std::chrono::steady_clock::now()};
}

std::vector<arrival> take_arrivals(sassafras_load::arrival_schedule schedule, std::size_t count) {
    std::vector<arrival> arrivals;
    while (arrivals.size() < count) {
        arrivals.push_back(*schedule.next());
    }
    return arrivals;
}

// Guards against a schedule that depends on anything but its seed, or that goes back in time.
RC_GTEST_PROP(arrival_schedule, is_ordered_and_repeatable, (std::uint64_t seed)) {
    const std::vector<double> rates{5, 0, 500};
    const auto arrivals = take_arrivals({rates, seed}, 200);
    RC_ASSERT(arrivals == take_arrivals({rates, seed}, 200));
    for (std::size_t index = 1; index < arrivals.size(); ++index) {
        RC_ASSERT(arrivals[index - 1].due_ <= arrivals[index].due_);
        RC_ASSERT(arrivals[index].work_ != 1U);
    }
}

// Guards against latencies that count from the time of sending: a late answer must not be recorded as fast.
TEST(work_result, takes_exact_quantiles_and_counts_outcomes) {
    sassafras_load::work_result result;
    for (int milliseconds = 100; milliseconds >= 1; --milliseconds) {
        const sassafras_load::caller_response_fields done{.outcome_ = base::outcome::done};
        result.count_response(done, std::chrono::milliseconds{milliseconds});
    }
    result.count_response(sassafras_load::caller_response_fields{.error_ = base::error_kind::timeout}, {});
    EXPECT_EQ(result.latency_ms(0.5), 50);
    EXPECT_EQ(result.latency_ms(0.99), 99);
    EXPECT_EQ(result.latency_ms(1), 100);
    EXPECT_EQ(result.unknown(), 1U);
    EXPECT_EQ(result.errors().at("timeout"), 1U);
}

// Guards against idle connections that outlive the io_context of their sockets, which corrupted the heap; and
// against a submission that is counted or recorded twice, or shares its value with another one.
TEST(load_thread, records_each_submission_and_leaves_no_socket_behind) {
    const answering_server server;
    const auto plan = small_plan();
    sassafras_load::load_thread part{plan, 0};
    part.run();
    const auto& result = part.results().front();
    EXPECT_GT(result.offered(), 0U);
    EXPECT_EQ(result.done(), result.offered());
    EXPECT_EQ(result.repeats(), result.offered());
    EXPECT_LE(result.done_in_run(), result.done());
    EXPECT_EQ(part.records().size(), 2 * result.offered());
    std::set<std::string> statements;
    for (const auto& record : part.records()) {
        statements.insert(record->statements_.front());
        EXPECT_LE(record->scheduled_us_, record->sent_us_);
    }
    EXPECT_EQ(statements.size(), result.offered());
}

// Guards against a request that counts as unknown although no daemon could be reached.
TEST(load_thread, counts_unreachable_daemons_as_not_run) {
    sassafras_load::load_thread part{small_plan(), 0};
    part.run();
    EXPECT_EQ(part.results().front().not_run(), part.results().front().offered());
}

// Guards against a profile in the repository that the load tool refuses.
TEST(profile_reader, reads_every_profile) {
    std::size_t files = 0;
    for (const auto& file :
         std::filesystem::directory_iterator{std::string{SASSAFRASDEAL_SOURCE_FOLDER} + "/meta/profiles"}) {
        const auto document = base::ini_document::load(file.path());
        ASSERT_TRUE(document.has_value());
        EXPECT_TRUE(sassafras_load::read_profile(*document).has_value()) << file.path();
        ++files;
    }
    EXPECT_GT(files, 0U);
}

// Guards against a typing error in a profile that silently changes what is offered.
TEST(profile_reader, refuses_unknown_keys_and_values) {
    const std::string work = "[work w]\nservice = s\ntenants = t\nrank = r\nstatements = get k\n";
    for (const std::string fault :
         {"rates = 5\n", "rate = -5\n", "rate = fast\n", "access = both\n", "session_percent = 101\n",
          "idempotency_key = yes\n", "[other]\na = b\n"}) {
        const auto document = base::ini_document::parse(work + fault, "faulty.ini");
        ASSERT_TRUE(document.has_value());
        EXPECT_FALSE(sassafras_load::read_profile(*document).has_value()) << fault;
    }
}

// Guards against a flood that scales other work than the named one.
TEST(profile_reader, scales_single_work) {
    const auto scaled = sassafras_load::scale_rates(small_profile(), 2, "write=3");
    ASSERT_TRUE(scaled.has_value());
    EXPECT_EQ((*scaled)->work_.front()->rate_, 300);
    EXPECT_FALSE(sassafras_load::scale_rates(small_profile(), 2, "read=3").has_value());
    EXPECT_FALSE(sassafras_load::scale_rates(small_profile(), 2, "write").has_value());
}

} // namespace
