#include <callers/events.hpp>
