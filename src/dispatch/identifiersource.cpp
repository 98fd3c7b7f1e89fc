#include "dispatch/identifiersource.h"

namespace Lentillock
{

IdentifierSource::IdentifierSource(const VmId &vm, std::uint64_t incarnation)
    : prefix_(vm.value() + "-" + std::to_string(incarnation) + "-")
{
}

AttemptId IdentifierSource::nextAttempt()
{
    return AttemptId(prefix_ + std::to_string(next_++));
}

AllocationId IdentifierSource::nextAllocation()
{
    return AllocationId(prefix_ + std::to_string(next_++));
}

}
