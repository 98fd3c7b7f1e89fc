#pragma once

#include <boost/json/object.hpp>

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// A program of the project that a test starts and stops. The destructor kills it if it still runs.
class ChildProcess
{
public:
    /// Starts @p program and reads the line of addresses that it writes after it has started to listen.
    /// Standard error goes to @p logFile. Throws std::runtime_error when no line arrives within 10 s.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// An address from the line of addresses, for example address("grpc").
    [[nodiscard]] std::string address(const std::string &name) const;
    [[nodiscard]] pid_t pid() const;

    void signal(int number) const;

    /// Waits for the end and returns the exit status, or 128 plus the number of the signal that ended it.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);
    void kill();

private:
    void readAddresses();

    std::string program_;
    pid_t pid_ = -1;
    int output_ = -1;
    boost::json::object addresses_;
};

}
