// Structured log lines for changes of state. What happens often is counted in metrics instead.

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wigeon {

using log_field = std::pair<std::string_view, std::string>;

// `format` is "key=value" or "json". Lines go to standard error.
void start_logging(std::string_view program, std::string_view format);

void log_change(std::string_view event, std::initializer_list<log_field> fields);

} // namespace wigeon
