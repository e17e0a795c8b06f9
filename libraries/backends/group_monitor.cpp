#include <backends/database_client.hpp>
#include <backends/group_monitor.hpp>

namespace backends {

namespace {

struct checker_for_compilation {
    boost::asio::awaitable<suspicion_result> operator()(operators::database_declaration /*database*/) const {
        co_return suspicion_result::no_daemon;
    }
};

} // namespace

// Compiles the whole template with the daemon's own types when the library is built.
template class group_monitor<database_client_connector, base::clock, checker_for_compilation>;

} // namespace backends
