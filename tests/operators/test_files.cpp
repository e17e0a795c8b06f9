#include <operators/declaration_folder.hpp>
#include <operators/declaration_reader.hpp>
#include <operators/file_format.hpp>
#include <operators/settings_reader.hpp>
#include <operators/value_reader.hpp>
#include <tests/operators/samples.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace {

const std::string root = SASSAFRASDEAL_SOURCE_FOLDER;

std::string declaration_text() {
    return samples::read_source_file("samples/zadruzna_skrb/ledger_zagreb.service.ini");
}

std::string settings_text() {
    return samples::read_source_file("samples/daemon.ini");
}

std::string replaced(std::string text, const std::string& from, const std::string& with) {
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), with);
}

std::string list_of(const std::vector<operators::problem>& problems) {
    std::string text;
    for (const auto& fault : problems) {
        text += to_string(fault) + "\n";
    }
    return text;
}

struct injected_fault {
    std::string from_;
    std::string to_;
    std::string section_;
    std::string key_;
    std::string what_;
};

// Expects exactly one problem for each injected fault, in the correct section and key and with a remedy.
template <typename Reader>
void expect_found(const std::vector<injected_fault>& faults, const std::string& text, Reader read) {
    for (const auto& fault : faults) {
        const auto checked = read(replaced(text, fault.from_, fault.to_), "test.ini");
        ASSERT_EQ(checked.problems_.size(), 1U) << fault.to_ << "\n" << list_of(checked.problems_);
        EXPECT_FALSE(checked.value_);
        const auto& found = checked.problems_.front();
        EXPECT_EQ(found.file_, "test.ini");
        EXPECT_EQ(found.section_, fault.section_) << to_string(found);
        EXPECT_EQ(found.key_, fault.key_) << to_string(found);
        EXPECT_NE(found.what_.find(fault.what_), std::string::npos) << to_string(found);
        EXPECT_FALSE(found.remedy_.empty());
    }
}

// Applies changes of (position, byte) to a text. A byte divisible by 8 deletes that many characters at the
// position; any other byte overwrites one.
std::string corrupt(std::string text, const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes) {
    for (const auto& [position, byte] : changes) {
        const auto index = position % text.size();
        if (byte % 8 == 0) {
            text.erase(index, byte);
        } else {
            text[index] = static_cast<char>(byte);
        }
        if (text.empty()) {
            text = "x";
        }
    }
    return text;
}

} // namespace

// Guards against samples that fail validation and against values that are assigned to the wrong member.
TEST(operator_files, samples_are_read_with_their_values) {
    const auto settings = operators::load_settings(root + "/samples/daemon.ini");
    ASSERT_TRUE(settings.value_) << list_of(settings.problems_);
    const auto& daemon = *settings.value_;
    EXPECT_EQ(daemon->name_, "entry-1");
    EXPECT_EQ(daemon->region_, "croatia");
    EXPECT_EQ(daemon->failure_domain_, "a");
    EXPECT_EQ(daemon->token_key_, "replace-this-sample-secret");
    EXPECT_EQ(daemon->caller_address_.port(), 7001);
    EXPECT_EQ(daemon->operator_address_.port(), 7002);
    EXPECT_EQ(daemon->peer_address_.port(), 7003);
    EXPECT_EQ(daemon->platform_address_.port(), 7090);
    EXPECT_EQ(daemon->seeds_.size(), 2U);
    EXPECT_EQ(daemon->drain_deadline_, base::clock::duration{10'000});
    const auto all = operators::collect_declarations(root + "/samples");
    ASSERT_TRUE(all.value_) << list_of(all.problems_);
    ASSERT_EQ((*all.value_)->services_.size(), 6U);
    std::set<std::string> domains;
    for (const auto& service : (*all.value_)->services_) {
        const bool is_ledger = service->name_.starts_with("ledger");
        EXPECT_EQ(service->databases_.size(), 3U);
        EXPECT_EQ(service->slots_, is_ledger ? 2U : 5U);
        EXPECT_EQ(service->connections_, is_ledger ? 16U : 50U);
        EXPECT_EQ(service->ranks_.front().name_, is_ledger ? "payout_confirmation" : "notice");
        EXPECT_EQ(service->ranks_.front().least_share_percent_, 40U);
        EXPECT_EQ(service->read_classes_[1].staleness_, base::clock::duration{is_ledger ? 2'000 : 5'000});
        EXPECT_EQ(service->tenants_.front().name_, "default");
        for (const auto& database : service->databases_) {
            domains.insert(database.failure_domain_);
        }
    }
    EXPECT_EQ(domains.size(), 4U);
}

// Guards against different defaults in the file format and in the value types.
TEST(operator_files, absent_optional_keys_get_the_defaults_of_the_value_types) {
    const auto settings =
        operators::read_settings("[daemon]\nname=d\nregion=r\nfailure_domain=a\ntoken_key=0123456789abcdef\n"
                                 "[callers]\naddress=127.0.0.1:1\n[operators]\naddress=127.0.0.1:2\n"
                                 "[peers]\naddress=127.0.0.1:3\n[platform]\naddress=127.0.0.1:4\n",
                                 "test.ini");
    ASSERT_TRUE(settings.value_) << list_of(settings.problems_);
    operators::daemon_settings_fields expected;
    expected.name_ = "d";
    expected.region_ = "r";
    expected.failure_domain_ = "a";
    expected.token_key_ = "0123456789abcdef";
    expected.caller_address_ = {"127.0.0.1", 1};
    expected.operator_address_ = {"127.0.0.1", 2};
    expected.peer_address_ = {"127.0.0.1", 3};
    expected.platform_address_ = {"127.0.0.1", 4};
    EXPECT_EQ(*settings.value_, operators::daemon_settings{expected});
    const auto service = operators::read_declaration(
        "[service]\nname=s\nregion=r\n[database a]\naddress=127.0.0.1:1\nfailure_domain=a\n"
        "[database b]\naddress=127.0.0.1:2\nfailure_domain=b\n[database c]\naddress=127.0.0.1:3\n"
        "failure_domain=c\n[rank x]\n[read_class fresh]\n[tenant Županja]\n",
        "test.ini");
    ASSERT_TRUE(service.value_) << list_of(service.problems_);
    const operators::service_declaration_fields defaults;
    EXPECT_EQ((*service.value_)->slots_, defaults.slots_);
    EXPECT_EQ((*service.value_)->connections_, defaults.connections_);
    EXPECT_EQ((*service.value_)->queue_items_, defaults.queue_items_);
    EXPECT_EQ((*service.value_)->queue_bytes_, defaults.queue_bytes_);
    EXPECT_EQ((*service.value_)->ranks_.front(), (operators::rank_declaration{"x"}));
    EXPECT_EQ((*service.value_)->read_classes_.front(), (operators::read_class_declaration{"fresh"}));
    EXPECT_EQ((*service.value_)->tenants_.front(), (operators::tenant_limit{"Županja"}));
}

// Guards against faults of a declaration that are accepted, reported at the wrong place or reported twice.
TEST(operator_files, each_fault_of_a_declaration_is_reported_where_it_is) {
    const std::vector<injected_fault> faults{
        {"slots = 2", "slot = 2", "service", "slot", "unknown"},
        {"slots = 2", "slots 2", "service", "", "line 6"},
        {"slots = 2", "slots = two", "service", "slots", "whole number"},
        {"slots = 2", "slots = -2", "service", "slots", "whole number"},
        {"slots = 2", "slots = 0", "service", "slots", "1 to 10000"},
        {"slots = 2", "slots = 99999999999999999999", "service", "slots", "1 to 10000"},
        {"slots = 2", "slots = 17", "service", "slots", "17 slots are more than 16"},
        {"slots = 2", "slots = 2\nslots = 3", "service", "slots", "twice"},
        {"region = croatia\n", "", "service", "region", "missing"},
        {"name = ledger_zagreb", "name = Ledger Zagreb", "service", "name", "characters other than"},
        {"name = ledger_zagreb", "name = ", "service", "name", "0 characters"},
        {"name = ledger_zagreb", "name = \xC5", "", "", "UTF-8"},
        {":7102", ":7101", "database ledger_zagreb_2", "address", "[database ledger_zagreb_1] too"},
        {"127.0.0.1:7102", "localhost:7102", "database ledger_zagreb_2", "address", "IP address"},
        {"127.0.0.1:7102", "127.0.0.1", "database ledger_zagreb_2", "address", "address:port"},
        {"failure_domain = b\n", "", "database ledger_zagreb_2", "failure_domain", "missing"},
        {"[database ledger_zagreb_3]\naddress = 127.0.0.1:7103\nfailure_domain = c\n", "", "database", "",
         "2 databases"},
        {"least_share_percent = 40", "least_share_percent = 61", "rank", "least_share_percent",
         "101 percent"},
        {"least_share_percent = 40", "least_share_percent = 101", "rank payout_confirmation",
         "least_share_percent", "0 to 100"},
        {"[tenant default]", "[customer default]", "customer default", "", "unknown"},
        {"[tenant default]", "[tenant]", "tenant", "", "name"},
        {"[tenant default]", "[tenant default", "read_class member_standing", "", "end its section"},
        {"[service]", "[service x]", "service x", "", "takes no name"},
    };
    auto single_fault_cases = faults;
    // An unterminated section line moves its keys into the previous section, so two problems are expected.
    std::erase_if(single_fault_cases, [](const auto& fault) {
        return fault.to_ == "[tenant default" || fault.to_ == "name = \xC5";
    });
    expect_found(single_fault_cases, declaration_text(), operators::read_declaration);
    for (const auto& fault : faults) {
        const auto found =
            operators::read_declaration(replaced(declaration_text(), fault.from_, fault.to_), "test.ini");
        EXPECT_NE(list_of(found.problems_).find(fault.what_), std::string::npos) << fault.to_;
    }
}

// Guards against duplicate sections, which the INI parser merges silently.
TEST(operator_files, duplicate_sections_are_reported) {
    for (const auto* second : {"[rank payout_confirmation]\n", "[RANK payout_confirmation]\n",
                               "[rank  payout_confirmation]\nweight = 1\n", "[service]\n"}) {
        const auto found = operators::read_declaration(declaration_text() + second, "test.ini");
        EXPECT_FALSE(found.value_) << second;
        EXPECT_NE(list_of(found.problems_).find("twice"), std::string::npos) << second;
    }
}

// Guards against faults of daemon settings that are accepted or reported at the wrong place.
TEST(operator_files, each_fault_of_the_settings_is_reported_where_it_is) {
    expect_found(
        {
            {"threads = 2", "threads = 0", "daemon", "threads", "1 to 256"},
            {"log_level = info", "log_level = loud", "daemon", "log_level", "not a log level"},
            {"address = 127.0.0.1:7002", "address = 127.0.0.1:7001", "operators", "address", "[callers] too"},
            {"127.0.0.1:7013", "127.0.0.1:7023", "peers", "seeds", "listed twice"},
            {"127.0.0.1:7013", "somewhere", "peers", "seeds", "address:port"},
            {"tls_key =", "tls_key = key.pem", "callers", "tls_certificate", "only one"},
            {"[platform]\n; Where the platform's store and host list answer (HTTP).\naddress = "
             "127.0.0.1:7090\n",
             "", "platform", "", "missing"},
        },
        settings_text(), operators::read_settings);
}

// Guards against leaking a secret in an error message.
TEST(operator_files, a_faulty_secret_is_not_shown) {
    const auto found = operators::read_settings(
        replaced(settings_text(), "replace-this-sample-secret", "tooshortsecret"), "test.ini");
    ASSERT_EQ(found.problems_.size(), 1U);
    EXPECT_EQ(list_of(found.problems_).find("tooshortsecret"), std::string::npos);
}

// Guards against reporting only the first fault, so that operators have to fix faults one at a time.
TEST(operator_files, all_faults_of_a_file_are_reported_at_once) {
    auto text = declaration_text();
    text = replaced(text, "slots = 2", "slots = 0");
    text = replaced(text, "region = croatia\n", "");
    text = replaced(text, "least_share_percent = 40", "least_share_percent = 90");
    text = replaced(text, "127.0.0.1:7102", "127.0.0.1:7101");
    text = replaced(text, "[tenant default]", "[customer default]");
    EXPECT_EQ(operators::read_declaration(text, "test.ini").problems_.size(), 5U);
}

// Guards against accepting a service or database in two files, where the order would decide which applies.
TEST(operator_files, the_same_service_or_database_in_two_files_is_reported) {
    const auto one = operators::read_declaration(declaration_text(), "one.ini");
    ASSERT_TRUE(one.value_);
    const auto same = operators::combine_declarations({{"one.ini", *one.value_}, {"two.ini", *one.value_}});
    ASSERT_EQ(same.problems_.size(), 1U);
    EXPECT_NE(same.problems_.front().what_.find("one.ini"), std::string::npos);
    const auto renamed = one.value_->with([](auto& fields) { fields.name_ = "other"; });
    const auto shared = operators::combine_declarations({{"one.ini", *one.value_}, {"two.ini", renamed}});
    EXPECT_EQ(shared.problems_.size(), 3U);
    EXPECT_FALSE(operators::collect_declarations(root + "/docs").value_);
    EXPECT_FALSE(operators::collect_declarations(root + "/no-such-folder").value_);
}

// Guards against crashes on corrupt files and against files that are rejected without a problem.
TEST(operator_files, corrupt_text_is_parsed_or_rejected_with_problems) {
    const auto declaration = declaration_text();
    const auto settings = settings_text();
    EXPECT_TRUE(rc::check("value exactly when there is no problem",
                          [&](const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes) {
                              const auto one =
                                  operators::read_declaration(corrupt(declaration, changes), "f");
                              RC_ASSERT(one.value_.has_value() == one.problems_.empty());
                              const auto other = operators::read_settings(corrupt(settings, changes), "f");
                              RC_ASSERT(other.value_.has_value() == other.problems_.empty());
                          }));
}

// Guards against documentation that lacks a key or states a wrong type, range, default or meaning.
TEST(operator_files, the_page_describes_every_key) {
    const auto page = samples::read_source_file("docs/operators.md");
    for (const auto* format : {&operators::daemon_settings_format(), &operators::session_settings_format(),
                               &operators::service_declaration_format()}) {
        for (const auto& section : format->sections_) {
            for (const auto& key : section.keys_) {
                const auto preset = key.necessity_ == operators::necessity::required ? "required"
                                    : key.default_.empty()                           ? "empty"
                                                           : std::string{key.default_};
                std::string row = "| `" + std::string{key.name_} + "` | " + std::string{name_of(key.type_)} +
                                  " | " + operators::range_of(key) + " | " + preset + " | " +
                                  std::string{key.meaning_} + " |";
                EXPECT_NE(page.find(row), std::string::npos) << section.kind_ << ": " << row;
            }
        }
    }
}
