#include "control/wakeup.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace Lentillock
{

WakeUp::WakeUp()
    : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

WakeUp::~WakeUp()
{
    close(descriptor_);
}

void WakeUp::signal() const
{
    eventfd_write(descriptor_, 1);
}

void WakeUp::clear() const
{
    eventfd_t count = 0;
    eventfd_read(descriptor_, &count);
}

int WakeUp::descriptor() const
{
    return descriptor_;
}

}
