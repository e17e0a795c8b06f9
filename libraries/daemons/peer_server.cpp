#include <daemons/peer_server.hpp>
