// Reads the settings of a program from its command line and environment. The options of its protobuf message describe
// them. Each field becomes a flag `--name` and an environment variable `WIGEON_NAME`; the flag takes precedence over
// the variable, and the variable over the default.

#pragma once

#include <string_view>

#include <google/protobuf/message.h>

namespace wigeon {

constexpr int usage_exit_code = 2;

// Fills `settings` from the command line and the environment. Nested messages are flattened.
// Prints --help or --version and exits with 0; prints one line and exits with 2 on a bad value.
// Removes the flags from argv and leaves positional arguments.
void load_settings(std::string_view usage, google::protobuf::Message& settings, int& argc, char**& argv);

} // namespace wigeon
