#include <proxy/events.hpp>
