#include <base/error.hpp>

namespace base {

std::string error::to_string() const {
    std::string text{name_of(kind_)};
    text.append(": ").append(message_).append("; ").append(remedy());
    return text;
}

} // namespace base
