#include <operators/events.hpp>
