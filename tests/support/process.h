// Child processes of a test, ended by id when the test ends.

#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace wigeon::test {

class process {
public:
    process() = default;

    // Output goes to files named after `name` in the folder.
    process(const std::string& folder, const std::string& name, const std::vector<std::string>& command);
    ~process();

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int signal_number) const;

    // Ends it without warning.
    void kill();

    // Waits for its end. Returns the exit code, or -1 when a signal ended it.
    int wait();

    [[nodiscard]] bool is_started() const { return this->id > 0; }

private:
    pid_t id = -1;
};

struct command_result {
    int exit_code = 0;
    std::string output;
};

// Runs a command to its end.
command_result run_command(const std::string& folder, const std::string& name, const std::vector<std::string>& command);

} // namespace wigeon::test
