#include <daemons/frame_codec.hpp>

#include <boost/endian/conversion.hpp>

namespace daemons {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t version_offset = 4;
constexpr std::size_t type_offset = 5;
constexpr std::size_t id_offset = 6;

// Consumed bytes are removed only from this size on, so that small frames do not move the rest of the buffer
// each time.
constexpr std::size_t compact_from_bytes = std::size_t{64} * 1024;

const unsigned char* bytes_at(const std::string& text, std::size_t offset) {
    return reinterpret_cast<const unsigned char*>(text.data() + offset);
}

} // namespace

std::string encode_frame(const frame& message) {
    std::string bytes(frame_header_bytes, '\0');
    auto* header = reinterpret_cast<unsigned char*>(bytes.data());
    const auto length = frame_header_bytes - length_bytes + message.body().size();
    boost::endian::store_big_u32(header, static_cast<std::uint32_t>(length));
    header[version_offset] = frame_version;
    header[type_offset] = static_cast<unsigned char>(message.type());
    boost::endian::store_big_u64(header + id_offset, message.id());
    bytes.append(message.body());
    return bytes;
}

void frame_decoder::append(std::string_view bytes) {
    if (failure_) {
        return;
    }
    if (consumed_ == buffer_.size() || consumed_ >= compact_from_bytes) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

base::error frame_decoder::fail(const std::string& reason) {
    failure_.emplace(base::error_kind::frame_invalid, reason);
    buffer_.clear();
    consumed_ = 0;
    return *failure_;
}

base::result<std::optional<frame>> frame_decoder::next() {
    if (failure_) {
        return *failure_;
    }
    const auto available = buffer_.size() - consumed_;
    if (available < frame_header_bytes) {
        return std::optional<frame>{};
    }
    const std::size_t length = boost::endian::load_big_u32(bytes_at(buffer_, consumed_));
    const auto version = *bytes_at(buffer_, consumed_ + version_offset);
    const auto type = *bytes_at(buffer_, consumed_ + type_offset);
    if (version != frame_version) {
        return fail("unsupported frame version " + std::to_string(version) + "; expected " +
                    std::to_string(frame_version));
    }
    if (type < static_cast<unsigned>(frame_type::heartbeat) ||
        type > static_cast<unsigned>(last_frame_type)) {
        return fail("unknown frame type " + std::to_string(type));
    }
    if (length < frame_header_bytes - length_bytes || length + length_bytes > max_frame_bytes) {
        return fail("invalid frame length " + std::to_string(length));
    }
    if (available < length + length_bytes) {
        return std::optional<frame>{};
    }
    const auto id = boost::endian::load_big_u64(bytes_at(buffer_, consumed_ + id_offset));
    auto body = buffer_.substr(consumed_ + frame_header_bytes, length + length_bytes - frame_header_bytes);
    consumed_ += length + length_bytes;
    return std::optional<frame>{frame{static_cast<frame_type>(type), id, std::move(body)}};
}

} // namespace daemons
