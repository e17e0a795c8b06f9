#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace backends {

/// The database of each service that may be used as its primary. Thread safety: immutable value, whose copies
/// share the entries.
class primary_directory {
public:
    /// Database by service.
    using entries = std::map<std::string, std::string, std::less<>>;

    primary_directory() = default;
    explicit primary_directory(entries databases)
        : databases_{std::make_shared<const entries>(std::move(databases))} {}

    /// Returns whether a database is the primary of a service.
    [[nodiscard]] bool contains(std::string_view service, std::string_view database) const {
        const auto found = databases_->find(service);
        return found != databases_->end() && found->second == database;
    }

    friend auto operator<=>(const primary_directory& first, const primary_directory& second) {
        return *first.databases_ <=> *second.databases_;
    }
    friend bool operator==(const primary_directory& first, const primary_directory& second) {
        return *first.databases_ == *second.databases_;
    }

private:
    std::shared_ptr<const entries> databases_ = std::make_shared<const entries>();
};

} // namespace backends
