#pragma once

namespace Lentillock
{

/// Event descriptor that wakes up a thread that waits in poll().
class WakeUp
{
public:
    WakeUp();
    WakeUp(const WakeUp &) = delete;
    WakeUp &operator=(const WakeUp &) = delete;
    ~WakeUp();

    void signal() const;
    void clear() const;
    [[nodiscard]] int descriptor() const;

private:
    int descriptor_;
};

}
