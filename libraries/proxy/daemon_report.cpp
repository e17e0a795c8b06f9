#include <proxy/daemon_report.hpp>

namespace proxy {

database_report report_of(const backends::known_database& database,
                          const operators::service_declaration& declaration) {
    database_report result{.name_ = database.name_,
                           .reachable_ = database.reachability_ == backends::reachability::reachable,
                           .leaving_ = database.is_leaving()};
    if (database.status_) {
        result.role_ = (*database.status_)->role_;
        result.term_ = (*database.status_)->term_;
        result.last_index_ = (*database.status_)->last_.index();
    }
    for (const auto& declared : declaration->databases_) {
        if (declared.name_ == database.name_) {
            result.address_ = declared.address_.to_string();
        }
    }
    return result;
}

} // namespace proxy
