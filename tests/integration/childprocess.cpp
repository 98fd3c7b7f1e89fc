#include "integration/childprocess.h"

#include <boost/json/parse.hpp>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace Lentillock
{

namespace
{

constexpr std::chrono::seconds StartTimeout{10};
constexpr std::chrono::milliseconds ExitPollInterval{10};

}

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
    : program_(program)
{
    std::array<int, 2> pipe{};
    if (pipe2(pipe.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe for the output of a child process");
    }
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);

    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe[1]);
    outputFd_ = pipe[0];
    if (error != 0) {
        close(outputFd_);
        throw std::runtime_error("cannot start " + program);
    }
    try {
        readAddresses();
    } catch (...) {
        kill();
        close(outputFd_);
        throw;
    }
}

ChildProcess::~ChildProcess()
{
    kill();
    close(outputFd_);
}

void ChildProcess::readAddresses()
{
    std::string line;
    const auto deadline = std::chrono::steady_clock::now() + StartTimeout;
    while (line.empty() || line.back() != '\n') {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd descriptor{outputFd_, POLLIN, 0};
        char character = 0;
        if (remaining.count() <= 0 || poll(&descriptor, 1, static_cast<int>(remaining.count())) <= 0 || read(outputFd_, &character, 1) != 1) {
            throw std::runtime_error(program_ + " exited or timed out before it reported its addresses");
        }
        line += character;
    }
    addresses_ = boost::json::parse(line).as_object();
}

std::string ChildProcess::address(const std::string &name) const
{
    const boost::json::string &address = addresses_.at(name).as_string();
    return {address.data(), address.size()};
}

pid_t ChildProcess::pid() const
{
    return pid_;
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (pid_ > 0) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(ExitPollInterval);
    }
    return std::nullopt;
}

void ChildProcess::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

}
