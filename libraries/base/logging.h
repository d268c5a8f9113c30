// Structured log lines for changes of state. What happens often is counted in metrics instead.

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wigeon {

using log_field = std::pair<std::string_view, std::string>;

// `format` is "key=value" or "json". Lines go to standard error, or with start_background_logging to standard output.
void start_logging(std::string_view program, std::string_view format);

// From now on lines wait in a bounded ring for a thread that writes them, so that no caller ever waits for the output.
// Lines beyond the ring or beyond the rate are dropped and counted. Call it once, before threads start to log.
void start_background_logging(std::string_view program, std::string_view format);

// Writes what waits in the ring and ends the thread.
void stop_logging();

void log_event(std::string_view event, std::initializer_list<log_field> fields);

} // namespace wigeon
