#include <stand_ins/database/journal.hpp>

#include <stand_ins/database/database_codec.hpp>

#include <filesystem>
#include <sstream>

namespace stand_ins::database {

namespace {

base::error unusable_file(const std::string& path, const std::string& cause) {
    return base::error{base::error_kind::settings_invalid, "the journal " + path + " " + cause};
}

std::string read_file(const std::string& path) {
    const std::ifstream file{path, std::ios::binary};
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

base::result<journal> journal::open(const std::string& path, database_state& state) {
    const auto content = read_file(path);
    std::size_t start = 0;
    for (auto end = content.find('\n'); end != std::string::npos; end = content.find('\n', start)) {
        const auto change = decode_change(std::string_view{content}.substr(start, end - start));
        if (!change) {
            return unusable_file(path, "holds a line that is no change, at byte " + std::to_string(start));
        }
        state.apply(*change);
        start = end + 1;
    }
    if (start < content.size()) {
        std::error_code failure;
        std::filesystem::resize_file(path, start, failure);
        if (failure) {
            return unusable_file(path, "cannot be truncated: " + failure.message());
        }
    }
    journal opened;
    opened.file_.open(path, std::ios::binary | std::ios::app);
    if (!opened.file_) {
        return unusable_file(path, "cannot be opened for writing");
    }
    opened.keeps_changes_ = true;
    return opened;
}

bool journal::write(const state_changes& changes) {
    if (!keeps_changes_ || changes.empty()) {
        return true;
    }
    for (const auto& change : changes) {
        file_ << encode_change(change) << '\n';
    }
    file_.flush();
    return file_.good();
}

} // namespace stand_ins::database
