#include <proxy/daemon_report_codec.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <string_view>
#include <utility>

namespace proxy {

namespace {

namespace json = boost::json;

std::string_view name_of(base::database_role role) {
    switch (role) {
    case base::database_role::primary:
        return "primary";
    case base::database_role::replica:
        return "replica";
    case base::database_role::none:
        return "unknown";
    }
    return "unknown";
}

json::object encode(const database_report& database) {
    json::object object;
    object["name"] = database.name_;
    object["address"] = database.address_;
    object["role"] = name_of(database.role_);
    object["term"] = database.term_;
    object["last_index"] = database.last_index_;
    object["reachable"] = database.reachable_;
    object["leaving"] = database.leaving_;
    return object;
}

json::object encode(const rank_report& rank) {
    json::object object;
    object["name"] = rank.name_;
    object["queued"] = rank.queued_;
    object["running"] = rank.running_;
    object["expected_wait_ms"] = rank.expected_wait_.count();
    return object;
}

json::object encode(const member_report& member) {
    json::object object;
    object["name"] = member.name_;
    object["address"] = member.address_;
    object["region"] = member.region_;
    object["failure_domain"] = member.failure_domain_;
    object["state"] = member.state_;
    object["revision"] = member.revision_;
    return object;
}

json::object encode(const group_report& group);

template <typename List>
json::array encode_all(const List& list) {
    json::array array;
    for (const auto& element : list) {
        array.push_back(encode(element));
    }
    return array;
}

json::object encode(const group_report& group) {
    json::object object;
    object["group"] = group.group_;
    object["term"] = group.term_;
    object["primary"] = group.primary_;
    object["committed_index"] = group.committed_index_;
    object["open_transactions"] = group.open_transactions_;
    object["databases"] = encode_all(group.databases_);
    object["ranks"] = encode_all(group.ranks_);
    return object;
}

} // namespace

std::string encode_report(const daemon_report& report) {
    json::object object;
    object["name"] = report->name_;
    object["version"] = report->version_;
    object["draining"] = report->draining_;
    object["configuration_revision"] = report->configuration_revision_;
    object["members"] = encode_all(report->members_);
    object["groups"] = encode_all(report->groups_);
    return json::serialize(object);
}

} // namespace proxy
