#include <backends/load_events.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>

// Guards against a catalogue that lacks an event, lists a removed one or differs from the definitions.
TEST(load_events, catalogue_lists_exactly_the_definitions) {
    support::expect_catalogue(backends::load_events::all, 350, 399);
}
