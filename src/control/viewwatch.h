#pragma once

#include "control/configstate.h"
#include "control/fleetsnapshot.h"

#include "lentillock.grpc.pb.h"

#include <functional>
#include <mutex>

namespace Lentillock
{

/// One WatchView stream. Keeps only the newest view for a receiver that is slower than the views come.
class ViewWatch : public grpc::ServerWriteReactor<lentillock::rpc::ViewUpdate>
{
public:
    using Done = std::function<void(ViewWatch *)>;

    /// @p done is called when gRPC needs the stream no more; it deletes the watch.
    ViewWatch(std::uint64_t knownVersion, Done done);

    void publish(const FleetSnapshotPtr &fleet, const ConfigStatePtr &config);
    void close();

    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    /// Requires the lock.
    void writeNext();
    void finish();

    Done done_;
    std::mutex mutex_;
    FleetSnapshotPtr fleet_; ///< Null if all views have been sent.
    ConfigStatePtr config_;
    std::uint64_t sentVersion_;
    lentillock::rpc::ViewUpdate update_;
    bool writing_ = false;
    bool finished_ = false;
};

}
