// Writes small flat JSON objects for responses and log lines. Larger documents are protobuf messages in their JSON
// mapping.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <google/protobuf/message.h>

namespace wigeon {

class json_object {
public:
    void add(std::string_view name, std::string_view value);
    void add(std::string_view name, const char* value) { this->add(name, std::string_view(value)); }
    void add(std::string_view name, std::uint64_t value);
    void add(std::string_view name, bool value);

    [[nodiscard]] std::string to_string() const { return "{" + this->members + "}"; }

private:
    void add_raw(std::string_view name, std::string_view value);

    std::string members;
};

std::string quote_json(std::string_view text);

// Throws error(malformed_request) that names the unknown field or the field of the wrong type.
void parse_json(std::string_view text, google::protobuf::Message& message);

// Keeps the field names of the schema and also prints fields that hold their default value.
std::string format_json(const google::protobuf::Message& message);

} // namespace wigeon
