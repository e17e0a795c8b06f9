#include <backends/preparation_log.hpp>

#include <backends/load_events.hpp>
#include <base/clock.hpp>
#include <base/event.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace backends {

namespace {

// A shape may be as long as a line of the protocol.
constexpr std::size_t max_logged_bytes = 64;

std::string shortened(std::string_view text) {
    return std::string{text.substr(0, max_logged_bytes)};
}

} // namespace

void preparation_log::record(const statement_preparation& preparation) {
    total_.fetch_add(1, std::memory_order_relaxed);
    if (!limiter_.allows(base::clock::now())) {
        return;
    }
    const bool is_cut = preparation.shape_.size() > max_logged_bytes;
    base::log_event(load_events::statement_prepared,
                    {{"service", std::string{preparation.service_}},
                     {"database", std::string{preparation.database_}},
                     {"connection", std::to_string(preparation.connection_)},
                     {"effect", preparation.effect_ == base::prepared_effect::reads ? "reads" : "writes"},
                     {"name", shortened(preparation.name_)},
                     {"shape", shortened(preparation.shape_)},
                     {"shape_bytes", std::to_string(preparation.shape_.size())},
                     {"cut", is_cut ? "yes" : "no"},
                     {"id", shortened(preparation.statement_id_)}});
}

} // namespace backends
