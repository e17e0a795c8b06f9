#pragma once

#include <utilities/history/database_log.hpp>
#include <utilities/history/request_record.hpp>
#include <utilities/history/violation.hpp>

#include <vector>

namespace history {

/// Decides whether a run kept the promises to its callers; returns every case in which it did not.
///
/// The log of a service is the one whose last entry has the greatest position. Requests are found in it by
/// idempotency key, and without one by their first `set` statement, so each write uses a value of its own; a
/// write with neither is not checked. Entries that share no statement and no key with the history are taken
/// for the work of other callers. A service without a log is a violation.
/// Precondition: the logs were read after the last answer, and repeats under one key have the same
/// statements. Thread safety: any thread.
[[nodiscard]] std::vector<violation> check_history(const std::vector<request_record>& records,
                                                   const std::vector<database_log>& logs);

} // namespace history
