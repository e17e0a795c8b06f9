#include <operators/declaration_reader.hpp>

#include <operators/file_format.hpp>
#include <operators/keyed_file.hpp>

#include <utility>

namespace operators {

namespace {

// The smallest group that keeps a majority after the loss of one database.
constexpr std::size_t min_databases = 3;
constexpr std::uint64_t max_share_sum_percent = 100;

std::uint32_t uint32_of(const keyed_section& section, std::string_view key) {
    return static_cast<std::uint32_t>(section.value_of<std::uint64_t>(key));
}

base::clock::duration duration_of(const keyed_section& section, std::string_view key) {
    return base::clock::duration{section.value_of<std::uint64_t>(key)};
}

service_declaration_fields build_declaration(const keyed_file& file) {
    const auto service = file.section_of("service");
    service_declaration_fields fields;
    fields.name_ = service.value_of<std::string>("name");
    fields.region_ = service.value_of<std::string>("region");
    fields.slots_ = uint32_of(service, "slots");
    fields.connections_ = uint32_of(service, "connections");
    fields.queue_items_ = uint32_of(service, "queue_items");
    fields.queue_bytes_ = service.value_of<std::uint64_t>("queue_bytes");
    for (const auto& database : file.sections_of("database")) {
        fields.databases_.push_back({database.name_, database.value_of<base::endpoint>("address"),
                                     database.value_of<std::string>("failure_domain")});
    }
    for (const auto& rank : file.sections_of("rank")) {
        fields.ranks_.push_back({rank.name_, uint32_of(rank, "least_share_percent"),
                                 uint32_of(rank, "weight"), duration_of(rank, "deadline_ms")});
    }
    for (const auto& read_class : file.sections_of("read_class")) {
        fields.read_classes_.push_back({read_class.name_, duration_of(read_class, "staleness_ms")});
    }
    for (const auto& tenant : file.sections_of("tenant")) {
        fields.tenants_.push_back({tenant.name_, uint32_of(tenant, "most_in_flight")});
    }
    return fields;
}

void check_databases(const service_declaration& declaration, const std::string& file,
                     std::vector<problem>& problems) {
    const auto& databases = declaration->databases_;
    // For a file without any database, the missing section has already been reported.
    if (!databases.empty() && databases.size() < min_databases) {
        problems.push_back(
            {file, "database", "",
             std::to_string(databases.size()) + " databases have no majority after one of them fails",
             "declare at least 3 databases"});
    }
    for (auto one = databases.begin(); one != databases.end(); ++one) {
        for (auto other = databases.begin(); other != one; ++other) {
            if (one->address_ == other->address_ && one->address_.port() != 0) {
                problems.push_back(
                    {file, "database " + one->name_, "address",
                     one->address_.to_string() + " is the address of [database " + other->name_ + "] too",
                     "give each database its own address"});
            }
        }
    }
}

void check_sums(const service_declaration& declaration, const std::string& file,
                std::vector<problem>& problems) {
    std::uint64_t shares = 0;
    for (const auto& rank : declaration->ranks_) {
        shares += rank.least_share_percent_;
    }
    if (shares > max_share_sum_percent) {
        problems.push_back({file, "rank", "least_share_percent",
                            "the least shares of all ranks add up to " + std::to_string(shares) + " percent",
                            "lower them until they add up to 100 or less"});
    }
    if (declaration->connections_ != 0 && declaration->slots_ > declaration->connections_) {
        problems.push_back({file, "service", "slots",
                            std::to_string(declaration->slots_) + " slots are more than " +
                                std::to_string(declaration->connections_) + " connections",
                            "lower slots or raise connections; each statement needs a connection"});
    }
}

} // namespace

checked<service_declaration> read_declaration(std::string_view text, std::string file) {
    auto read = read_keyed_text(text, std::move(file), service_declaration_format());
    service_declaration declaration{build_declaration(read)};
    auto contradictions = find_contradictions(declaration, read.file_);
    read.problems_.insert(read.problems_.end(), contradictions.begin(), contradictions.end());
    if (!read.problems_.empty()) {
        return {std::nullopt, std::move(read.problems_)};
    }
    return {std::move(declaration), {}};
}

checked<service_declaration> load_declaration(const std::string& path) {
    const auto text = read_whole_file(path);
    if (!text) {
        return {std::nullopt,
                {{path, "", "", text.last_reason().message(), "check the path and its permissions"}}};
    }
    return read_declaration(*text, path);
}

std::vector<problem> find_contradictions(const service_declaration& declaration, const std::string& file) {
    std::vector<problem> problems;
    check_databases(declaration, file, problems);
    check_sums(declaration, file, problems);
    return problems;
}

} // namespace operators
