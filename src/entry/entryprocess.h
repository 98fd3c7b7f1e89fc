#pragma once

#include "entry/entrysettings.h"

#include <memory>

namespace Lentillock
{

/// A running entry: all its tasks and servers.
class EntryProcess
{
public:
    /// Starts to listen. Throws std::exception when an address cannot be used.
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// The addresses that the process listens on, as one JSON object.
    [[nodiscard]] std::string addresses() const;

    /// /readyz fails from now on; requests are still accepted.
    void beginShutdown();

    /// New requests are refused from now on; running ones finish.
    void beginDrain();

    /// Ends all requests with an error that states their run state.
    void abortRequests();

    /// Whether all requests are done, their answers are sent and their claims are settled.
    [[nodiscard]] bool isIdle();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// Runs an entry until SIGTERM or SIGINT. Blocks these signals in the calling thread. Returns the exit status.
int runEntry(const EntrySettings &settings);

}
