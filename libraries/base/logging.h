// Structured log lines for state changes. Frequent events are counted in metrics instead.

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wigeon {

using log_field = std::pair<std::string_view, std::string>;

// `format` is "key=value" or "json". The calling thread writes its lines to standard error.
void start_logging(std::string_view program, std::string_view format);

// Makes a background thread write the lines to standard output from a bounded ring, so that callers never block on the
// output. Lines that exceed the ring's capacity or the rate limit are dropped and counted. Call once, before any thread
// logs.
void start_background_logging(std::string_view program, std::string_view format);

// Writes the lines that are left in the ring and ends the background thread.
void stop_logging();

void log_event(std::string_view event, std::initializer_list<log_field> fields);

} // namespace wigeon
