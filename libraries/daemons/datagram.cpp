#include <daemons/datagram.hpp>

namespace daemons {

namespace {

// Version, byte order, kind, sequence, four lengths, port and number of updates.
constexpr std::size_t fixed_datagram_bytes = 1 + 1 + 1 + 8 + 4 * 4 + 2 + 4;

} // namespace

std::size_t wire_bytes_without_updates(const datagram_fields& message) noexcept {
    return fixed_datagram_bytes + wire_bytes(message.sender_) + message.subject_.size() +
           message.subject_address_.address().size() + message.after_.size() + message.list_end_.size();
}

} // namespace daemons
