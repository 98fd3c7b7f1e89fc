#include "dispatch/identifiergenerator.h"

namespace Lentillock
{

IdentifierGenerator::IdentifierGenerator(const VmId &vm, std::uint64_t incarnation)
    : prefix_(vm.value() + "-" + std::to_string(incarnation) + "-")
{
}

AttemptId IdentifierGenerator::nextAttempt()
{
    return AttemptId(prefix_ + std::to_string(next_++));
}

AllocationId IdentifierGenerator::nextAllocation()
{
    return AllocationId(prefix_ + std::to_string(next_++));
}

}
