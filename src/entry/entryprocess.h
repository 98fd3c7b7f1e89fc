#pragma once

#include "entry/entrysettings.h"

#include <memory>

namespace Lentillock
{

/// A running entry with all its tasks and servers.
class EntryProcess
{
public:
    /// Starts listening. Throws std::exception if an address cannot be used.
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// The listen addresses, as a JSON object.
    [[nodiscard]] std::string addresses() const;

    /// Makes /readyz fail; requests are still accepted.
    void beginShutdown();

    /// Refuses new requests; running ones continue.
    void beginDrain();

    /// Ends all requests with an error that reports their run state.
    void abortRequests();

    /// Whether all requests are finished, their responses are sent and their claim releases and outcomes are delivered or given up.
    [[nodiscard]] bool isIdle();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// Runs an entry until SIGTERM or SIGINT and returns the exit status. Blocks these signals in the calling thread.
int runEntry(const EntrySettings &settings);

}
