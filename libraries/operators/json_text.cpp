#include <operators/json_text.hpp>

#include <operators/text_check.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace operators {

namespace {

namespace json = boost::json;

constexpr std::size_t indent_width = 2;

std::string printable(std::string_view text) {
    std::string shown{text};
    std::replace_if(
        shown.begin(), shown.end(),
        [](char character) {
            return has_control_character(std::string_view{&character, 1});
        },
        ' ');
    return shown;
}

std::string scalar_text(const json::value& value) {
    if (const auto* text = value.if_string()) {
        return printable(std::string_view{text->data(), text->size()});
    }
    return json::serialize(value);
}

bool is_scalar(const json::value& value) {
    return !value.is_object() && !value.is_array();
}

class json_renderer {
public:
    void render(const json::value& value, std::size_t depth) {
        if (const auto* object = value.if_object()) {
            for (const auto& member : *object) {
                render_member(printable(member.key()) + ":", member.value(), depth);
            }
        } else if (const auto* array = value.if_array()) {
            for (const auto& element : *array) {
                render_member("-", element, depth);
            }
        } else {
            add_line(scalar_text(value), depth);
        }
    }

    std::string take_text() { return std::move(text_); }

private:
    void render_member(const std::string& label, const json::value& value, std::size_t depth) {
        if (is_scalar(value)) {
            add_line(label + " " + scalar_text(value), depth);
            return;
        }
        const bool is_empty = value.is_object() ? value.get_object().empty() : value.get_array().empty();
        add_line(is_empty ? label + " none" : label, depth);
        render(value, depth + 1);
    }

    void add_line(const std::string& line, std::size_t depth) {
        text_.append(depth * indent_width, ' ').append(line).append("\n");
    }

    std::string text_;
};

} // namespace

base::result<std::string> render_json(std::string_view text) {
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure) {
        return base::error{base::error_kind::internal, "the answer is not JSON: " + failure.message()};
    }
    json_renderer renderer;
    renderer.render(parsed, 0);
    return renderer.take_text();
}

base::error read_error_response(unsigned status, std::string_view text) {
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    const auto* body = failure ? nullptr : parsed.if_object();
    const auto* error = body == nullptr ? nullptr : body->if_contains("error");
    const auto* fields = error == nullptr ? nullptr : error->if_object();
    const auto* kind = fields == nullptr ? nullptr : fields->if_contains("kind");
    const auto* message = fields == nullptr ? nullptr : fields->if_contains("message");
    if (kind == nullptr || message == nullptr || !kind->is_string() || !message->is_string()) {
        return base::error{base::error_kind::internal,
                           "the answer has status " + std::to_string(status) + " and no error"};
    }
    return base::error{base::error_kind_from_name(scalar_text(*kind)), scalar_text(*message)};
}

} // namespace operators
