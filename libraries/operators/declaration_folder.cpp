#include <operators/declaration_folder.hpp>

#include <operators/declaration_reader.hpp>

#include <algorithm>
#include <filesystem>
#include <map>
#include <system_error>
#include <utility>

namespace operators {

namespace {

namespace fs = std::filesystem;

struct directory_listing {
    /// Sorted, so that problems are reported in the same order on every host.
    std::vector<std::string> files_;
    std::vector<problem> problems_;
};

directory_listing list_declarations(const std::string& directory) {
    directory_listing listing;
    std::error_code failure;
    fs::recursive_directory_iterator position{directory, failure};
    while (!failure && position != fs::recursive_directory_iterator{}) {
        const auto path = position->path().string();
        if (path.ends_with(declaration_file_ending)) {
            listing.files_.push_back(path);
        }
        position.increment(failure);
    }
    if (failure) {
        listing.problems_.push_back({directory, "", "", "the directory cannot be read: " + failure.message(),
                                     "check the path and its permissions"});
    } else if (listing.files_.empty()) {
        listing.problems_.push_back({directory, "", "", "the directory contains no .service.ini file",
                                     "specify the directory that contains the declarations"});
    }
    std::sort(listing.files_.begin(), listing.files_.end());
    return listing;
}

void check_services(const std::vector<declared_service>& services, std::vector<problem>& problems) {
    std::map<std::string, std::string> file_of_service;
    std::map<base::endpoint, const declared_service*> service_of_address;
    for (const auto& service : services) {
        const auto& declaration = service.declaration_;
        const auto [declared, is_new] = file_of_service.emplace(declaration->name_, service.file_);
        if (!is_new) {
            problems.push_back(
                {service.file_, "service", "name",
                 "the service " + declaration->name_ + " is declared in " + declared->second + " too",
                 "remove one of the two files or rename the service"});
            continue;
        }
        for (const auto& database : declaration->databases_) {
            const auto [assigned, is_unused] = service_of_address.emplace(database.address_, &service);
            if (!is_unused && assigned->second != &service) {
                problems.push_back({service.file_, "database " + database.name_, "address",
                                    database.address_.to_string() + " belongs to the service " +
                                        assigned->second->declaration_->name_ + " in " +
                                        assigned->second->file_ + " too",
                                    "give each database its own address"});
            }
        }
    }
}

} // namespace

checked<configuration> combine_declarations(std::vector<declared_service> services) {
    std::vector<problem> problems;
    check_services(services, problems);
    if (!problems.empty()) {
        return {std::nullopt, std::move(problems)};
    }
    configuration_fields fields;
    for (auto& service : services) {
        fields.services_.push_back(std::move(service.declaration_));
    }
    std::sort(fields.services_.begin(), fields.services_.end(),
              [](const auto& one, const auto& other) { return one->name_ < other->name_; });
    return {configuration{std::move(fields)}, {}};
}

loaded_declarations load_declarations(const std::string& directory) {
    auto listing = list_declarations(directory);
    loaded_declarations loaded{{}, std::move(listing.problems_)};
    for (const auto& file : listing.files_) {
        auto declaration = load_declaration(file);
        loaded.problems_.insert(loaded.problems_.end(), declaration.problems_.begin(),
                                declaration.problems_.end());
        if (declaration.value_) {
            loaded.services_.push_back({file, std::move(*declaration.value_)});
        }
    }
    return loaded;
}

checked<configuration> collect_declarations(const std::string& directory) {
    auto loaded = load_declarations(directory);
    auto combined = combine_declarations(std::move(loaded.services_));
    combined.problems_.insert(combined.problems_.begin(), loaded.problems_.begin(), loaded.problems_.end());
    if (!combined.problems_.empty()) {
        combined.value_.reset();
    }
    return combined;
}

} // namespace operators
