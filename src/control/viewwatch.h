#pragma once

#include "control/configstate.h"
#include "control/fleetsnapshot.h"

#include "lentillock.grpc.pb.h"

#include <functional>
#include <mutex>

namespace Lentillock
{

/// One WatchView stream. Views that are published while a write is in progress replace each other, so that a slow receiver gets only the newest.
class ViewWatch : public grpc::ServerWriteReactor<lentillock::rpc::ViewUpdate>
{
public:
    using DoneCallback = std::function<void(ViewWatch *)>;

    /// @p done is called when gRPC no longer uses the reactor, and deletes it.
    ViewWatch(std::uint64_t knownVersion, DoneCallback done);

    void publish(const FleetSnapshotPtr &fleet, const ConfigStatePtr &config);
    void close();

    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    /// Requires that the mutex is locked.
    void writeNext();
    /// Requires that the mutex is locked.
    void finish();

    DoneCallback done_;
    std::mutex mutex_;
    FleetSnapshotPtr fleet_; ///< Newest view that has not been sent; null if there is none.
    ConfigStatePtr config_;
    std::uint64_t sentVersion_;
    lentillock::rpc::ViewUpdate update_;
    bool writing_ = false;
    bool finished_ = false;
};

}
