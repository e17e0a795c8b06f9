#include <platform/events.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>

// Guards against a catalogue that differs from the event definitions, and against numbers outside 400 to 499.
TEST(events, catalogue_lists_every_definition) {
    support::expect_catalogue(platform::events::all, 400, 499);
}
