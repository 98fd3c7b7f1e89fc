#pragma once

namespace Lentillock
{

/// A descriptor that becomes readable when another task wakes the owner.
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
