// Starts, signals and reaps child processes.

#include "support/process.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wigeon::test {

process::process(const std::string& folder, const std::string& name, const std::vector<std::string>& command)
{
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    const std::string output = folder + "/" + name + ".out";
    const std::string errors = folder + "/" + name + ".err";
    constexpr int mode = 0644;
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_addopen(&actions, 2, errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    std::vector<char*> arguments;
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const int result = posix_spawn(&this->id, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error("cannot start " + command.front());
}

process::~process()
{
    this->kill();
}

process::process(process&& other) noexcept : id(std::exchange(other.id, -1)) {}

process& process::operator=(process&& other) noexcept
{
    if (this != &other) {
        this->kill();
        this->id = std::exchange(other.id, -1);
    }
    return *this;
}

void process::signal(int signal_number) const
{
    if (this->id > 0)
        ::kill(this->id, signal_number);
}

void process::kill()
{
    if (this->id <= 0)
        return;
    ::kill(this->id, SIGKILL);
    this->wait();
}

int process::wait()
{
    if (this->id <= 0)
        return -1;
    int status = 0;
    waitpid(this->id, &status, 0);
    this->id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

command_result run_command(const std::string& folder, const std::string& name, const std::vector<std::string>& command)
{
    static std::atomic<int> count = 0;
    const std::string unique_name = name + "-" + std::to_string(++count);
    process child(folder, unique_name, command);
    command_result result;
    result.exit_code = child.wait();
    for (const char* suffix : {".out", ".err"}) {
        std::ifstream file(folder + "/" + unique_name + suffix);
        result.output.append(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return result;
}

} // namespace wigeon::test
