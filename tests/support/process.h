// Child processes of a test. The destructor kills the process by its id.

#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace wigeon::test {

class process {
public:
    process() = default;

    // Starts the command. Its output is appended to the files NAME.out and NAME.err in the folder. Throws when it
    // cannot be started.
    process(const std::string& folder, const std::string& name, const std::vector<std::string>& command);
    ~process();

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int signal_number) const;

    // Sends SIGKILL and waits for the end of the process.
    void kill();

    // Waits for the end of the process. Returns the exit code, or -1 when a signal ended it or it was not started.
    int wait();

    [[nodiscard]] bool is_started() const { return this->id > 0; }
    [[nodiscard]] pid_t process_id() const { return this->id; }

private:
    pid_t id = -1;
};

struct command_result {
    int exit_code = 0;
    std::string output;
};

// Runs a command until it exits. `output` holds its standard output, then its standard error.
command_result run_command(const std::string& folder, const std::string& name, const std::vector<std::string>& command);

} // namespace wigeon::test
