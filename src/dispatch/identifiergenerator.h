#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace Lentillock
{

/// Identifiers of attempts and allocations, unique over all VMs and incarnations.
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
