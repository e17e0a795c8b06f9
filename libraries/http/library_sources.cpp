// Compiles the parts of Asio and Beast that their headers declare under separate compilation.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
