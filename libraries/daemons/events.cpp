#include <daemons/events.hpp>
