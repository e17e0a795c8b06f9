#include <proxy/events.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>

// Guards against a catalogue that differs from what the daemon logs.
TEST(events, catalogue_lists_every_definition) {
    support::expect_catalogue(proxy::events::all, 100, 199);
}
