#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace Lentillock
{

/// Generates identifiers of attempts and allocations that are unique across all VMs and incarnations.
class IdentifierGenerator
{
public:
    IdentifierGenerator(const VmId &vm, std::uint64_t incarnation);

    AttemptId nextAttempt();
    AllocationId nextAllocation();

private:
    std::string prefix_;
    std::uint64_t next_ = 1;
};

}
