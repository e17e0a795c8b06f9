#pragma once

#include <base/result.hpp>
#include <stand_ins/database/database_state.hpp>

#include <fstream>
#include <string>

namespace stand_ins::database {

/// The file that keeps a database's changes across a restart of its process: one change a line, append only.
///
/// It is handed to the operating system before an answer leaves, which survives the death of the process but
/// not that of the machine. Thread safety: used by one thread.
class journal {
public:
    /// A journal that keeps nothing.
    journal() = default;

    /// Opens or creates the file at `path` and applies what it holds to `state`. A last line that was cut off
    /// by the death of the process is dropped; its change was never answered.
    /// Errors: `settings_invalid`.
    [[nodiscard]] static base::result<journal> open(const std::string& path, database_state& state);

    /// Writes and flushes the changes. Returns whether they are kept.
    [[nodiscard]] bool write(const state_changes& changes);

private:
    std::ofstream file_;
    bool keeps_changes_ = false;
};

} // namespace stand_ins::database
