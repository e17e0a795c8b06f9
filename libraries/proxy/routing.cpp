#include <proxy/routing.hpp>

#include <algorithm>
#include <string>

namespace proxy {

namespace {

const operators::service_declaration* find_service(const operators::configuration& configuration,
                                                   const std::string& name) {
    const auto& services = configuration->services_;
    const auto found = std::lower_bound(
        services.begin(), services.end(), name,
        [](const auto& service, const std::string& wanted) { return service->name_ < wanted; });
    return found != services.end() && (*found)->name_ == name ? &*found : nullptr;
}

template <typename List>
std::size_t index_of(const List& list, const std::string& name) {
    const auto found =
        std::find_if(list.begin(), list.end(), [&name](const auto& entry) { return entry.name_ == name; });
    return static_cast<std::size_t>(found - list.begin());
}

base::result<std::size_t> rank_of(const operators::service_declaration& service,
                                  const base::request& request) {
    if (request->access_ == base::access::settle) {
        return std::size_t{0};
    }
    const auto rank = index_of(service->ranks_, request->rank_);
    if (rank == service->ranks_.size()) {
        return base::error{base::error_kind::unknown_rank,
                           "service '" + service->name_ + "' declares no rank '" + request->rank_ + "'"};
    }
    return rank;
}

base::result<base::clock::duration> staleness_of(const operators::service_declaration& service,
                                                 const base::request& request) {
    if (request->access_ != base::access::read) {
        return base::clock::duration{0};
    }
    if (request->read_class_.empty()) {
        return service->read_classes_.front().staleness_;
    }
    const auto index = index_of(service->read_classes_, request->read_class_);
    if (index == service->read_classes_.size()) {
        return base::error{base::error_kind::invalid_request, "service '" + service->name_ +
                                                                  "' declares no read class '" +
                                                                  request->read_class_ + "'"};
    }
    return service->read_classes_[index].staleness_;
}

} // namespace

base::result<routed_request> route(const operators::configuration& configuration,
                                   const base::request& request) {
    const auto* service = find_service(configuration, request->service_);
    if (service == nullptr) {
        return base::error{base::error_kind::unknown_service, "no service '" + request->service_ +
                                                                  "' is declared in revision " +
                                                                  std::to_string(configuration->revision_)};
    }
    const auto rank = rank_of(*service, request);
    if (!rank) {
        return rank.last_reason();
    }
    const auto staleness = staleness_of(*service, request);
    if (!staleness) {
        return staleness.last_reason();
    }
    const auto& declared_rank = (*service)->ranks_[*rank];
    const auto complete = request.with([&declared_rank](base::request_fields& fields) {
        if (fields.time_left_ == base::clock::duration{0}) {
            fields.time_left_ = declared_rank.deadline_;
        }
        fields.rank_ = declared_rank.name_;
    });
    return routed_request{routed_request_fields{
        .request_ = complete, .service_ = *service, .rank_ = *rank, .staleness_ = *staleness}};
}

} // namespace proxy
