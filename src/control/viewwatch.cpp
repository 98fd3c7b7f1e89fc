#include "control/viewwatch.h"

#include <utility>

namespace Lentillock
{

namespace rpc = ::lentillock::rpc;

namespace
{

std::uint64_t ageInMilliseconds(TimePoint then)
{
    const auto age = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - then).count();
    return age < 0 ? 0 : static_cast<std::uint64_t>(age);
}

void encode(const LoadReport &load, rpc::LoadReport &encoded)
{
    encoded.set_generation(load.generation);
    encoded.set_draining(load.draining);
    for (const ModelId &model : load.models) {
        encoded.add_models(model.value());
    }
    encoded.set_total_tokens(load.totalTokens);
    encoded.set_free_tokens(load.freeTokens);
    encoded.set_queued_tokens(load.queuedTokens);
    encoded.set_running(load.running);
    encoded.set_age_ms(ageInMilliseconds(load.measuredAt));
}

void encode(const EndpointState &endpoint, rpc::EndpointState &encoded)
{
    encoded.set_id(endpoint.id.value());
    encoded.set_health(static_cast<rpc::EndpointHealth>(endpoint.health));
    if (endpoint.load) {
        encode(*endpoint.load, *encoded.mutable_load());
    }
    encoded.set_observed_age_ms(ageInMilliseconds(endpoint.observedAt));
}

void encode(const Member &member, rpc::Member &encoded)
{
    encoded.set_id(member.id.value());
    encoded.set_zone(member.zone.value());
    encoded.set_control_address(member.controlAddress);
    encoded.set_config_version(member.configVersion);
    encoded.set_ready(member.ready);
}

}

ViewWatch::ViewWatch(std::uint64_t knownVersion, DoneCallback done)
    : done_(std::move(done))
    , sentVersion_(knownVersion)
{
}

void ViewWatch::publish(const FleetSnapshotPtr &fleet, const ConfigStatePtr &config)
{
    const std::lock_guard lock(mutex_);
    fleet_ = fleet;
    config_ = config;
    if (!writing_ && !finished_) {
        writeNext();
    }
}

void ViewWatch::writeNext()
{
    update_.Clear();
    update_.set_config_version(config_->version);
    if (config_->version > sentVersion_) {
        for (const ConfigSectionState &section : config_->sections) {
            rpc::Section &encoded = *update_.add_sections();
            encoded.set_name(section.name);
            encoded.set_version(section.version);
            encoded.set_text(section.text);
        }
        sentVersion_ = config_->version;
    }
    for (const EndpointState &endpoint : fleet_->endpoints) {
        encode(endpoint, *update_.add_endpoints());
    }
    for (const Member &member : fleet_->members) {
        // Members that are leaving or dead must not be used for failover.
        if (member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect) {
            encode(member, *update_.add_members());
        }
    }
    fleet_.reset();
    writing_ = true;
    StartWrite(&update_);
}

void ViewWatch::OnWriteDone(bool ok)
{
    const std::lock_guard lock(mutex_);
    writing_ = false;
    if (!ok) {
        finish();
    } else if (fleet_ != nullptr && !finished_) {
        writeNext();
    }
}

void ViewWatch::close()
{
    const std::lock_guard lock(mutex_);
    finish();
}

void ViewWatch::OnCancel()
{
    close();
}

void ViewWatch::finish()
{
    if (!std::exchange(finished_, true)) {
        Finish(grpc::Status::OK);
    }
}

void ViewWatch::OnDone()
{
    done_(this);
}

}
