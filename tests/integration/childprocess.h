#pragma once

#include <boost/json/object.hpp>

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// A program of the project that runs as a child process of a test. The destructor kills it if it is still running.
class ChildProcess
{
public:
    /// Starts @p program and reads the JSON object with its addresses, one line that it writes to standard output once it listens.
    /// Appends standard error to @p logFile. Throws std::runtime_error if no complete line arrives within 10 s.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Returns an address that the program reported, for example address("grpc").
    [[nodiscard]] std::string address(const std::string &name) const;
    [[nodiscard]] pid_t pid() const;

    void signal(int number) const;

    /// Waits for the process to end. Returns its exit status, or 128 plus the number of the signal that ended it,
    /// or std::nullopt if it is still running after @p timeout or was already reaped.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);
    void kill();

private:
    void readAddresses();

    std::string program_;
    pid_t pid_ = -1;
    int outputFd_ = -1;
    boost::json::object addresses_;
};

}
