#include <backends/database_client.hpp>
#include <backends/group_monitor.hpp>

namespace backends {

namespace {

struct null_check {
    boost::asio::awaitable<suspicion_result> operator()(operators::database_declaration /*database*/) const {
        co_return suspicion_result::no_daemon;
    }
};

} // namespace

// Instantiates the template with the daemon's types, so that it is compiled when the library is built.
template class group_monitor<database_client_connector, base::clock, null_check>;

} // namespace backends
