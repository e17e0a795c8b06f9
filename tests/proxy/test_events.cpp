#include <proxy/events.hpp>

#include <tests/support/event_catalogue.hpp>

#include <gtest/gtest.h>

// Guards against an event catalogue that differs from the events that the daemon logs.
TEST(events, catalogue_lists_every_definition) {
    support::expect_catalogue(proxy::events::all, 100, 199);
}
