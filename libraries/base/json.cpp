// Writes flat JSON objects, and converts messages through protobuf's JSON mapping.

#include "base/json.h"

#include <google/protobuf/util/json_util.h>

#include "base/error_kind.h"

namespace wigeon {

std::string quote_json(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        }
        else if (byte < 0x20) {
            quoted += "\\u00";
            quoted += digits[byte >> 4U];
            quoted += digits[byte & 0xFU];
        }
        else {
            quoted += c;
        }
    }
    return quoted + "\"";
}

void json_object::add_raw(std::string_view name, std::string_view value)
{
    if (!this->members.empty())
        this->members += ",";
    this->members += quote_json(name);
    this->members += ":";
    this->members += value;
}

void json_object::add(std::string_view name, std::string_view value)
{
    this->add_raw(name, quote_json(value));
}

void json_object::add(std::string_view name, std::uint64_t value)
{
    this->add_raw(name, std::to_string(value));
}

void json_object::add(std::string_view name, bool value)
{
    this->add_raw(name, value ? "true" : "false");
}

void parse_json(std::string_view text, google::protobuf::Message& message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = false;
    const auto status = google::protobuf::util::JsonStringToMessage(std::string(text), &message, options);
    if (!status.ok())
        throw error(error_kind::malformed_request, std::string(status.message()));
}

std::string format_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    if (!status.ok())
        throw error(error_kind::internal, std::string(status.message()));
    return text;
}

} // namespace wigeon
