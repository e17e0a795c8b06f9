#include <backends/events.hpp>
