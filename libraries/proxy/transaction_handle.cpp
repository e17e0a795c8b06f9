#include <proxy/transaction_handle.hpp>

#include <array>
#include <charconv>

namespace proxy {

namespace {

constexpr std::size_t number_digits = 16;
constexpr int hexadecimal = 16;

} // namespace

base::result<transaction_handle> transaction_handle::parse(std::string_view text) {
    const auto slash = text.rfind('/');
    const auto digits = slash == std::string_view::npos ? std::string_view{} : text.substr(slash + 1);
    std::uint64_t number = 0;
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    if (digits.size() != number_digits || status != std::errc{} || end != digits.data() + digits.size()) {
        return base::error{base::error_kind::unknown_transaction,
                           "the transaction handle was not issued by this system"};
    }
    return transaction_handle{std::string{text.substr(0, slash)}, number};
}

std::string transaction_handle::to_string() const {
    std::array<char, number_digits> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number_, hexadecimal);
    const std::string_view used{digits.data(), static_cast<std::size_t>(written.ptr - digits.data())};
    return daemon_ + "/" + std::string(number_digits - used.size(), '0') + std::string{used};
}

} // namespace proxy
