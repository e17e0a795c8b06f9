#include <platform/events.hpp>
