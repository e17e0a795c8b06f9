#include <operators/configuration.hpp>
#include <operators/daemon_settings.hpp>
