#pragma once

#include <utilities/sassafras_load/session.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace sassafras_load {

/// The sessions of one thread that wait for work. Thread safety: used by one thread.
class session_pool {
public:
    /// Opens `count` sessions whose names start with `prefix`.
    session_pool(std::string prefix, std::size_t count);

    /// Returns the session that has waited longest, or a new one when all are busy.
    [[nodiscard]] session take();

    /// Takes a session back.
    void give_back(session idle);

private:
    [[nodiscard]] session open();

    std::string prefix_;
    std::size_t opened_ = 0;
    std::deque<session> idle_;
};

} // namespace sassafras_load
