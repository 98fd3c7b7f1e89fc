#include "entry/viewbuilder.h"

#include "lentillock.pb.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

EndpointHealth toEndpointHealth(lentillock::rpc::EndpointHealth health)
{
    switch (health) {
    case lentillock::rpc::ENDPOINT_HEALTH_LIVE:
        return EndpointHealth::Live;
    case lentillock::rpc::ENDPOINT_HEALTH_LEAVING:
        return EndpointHealth::Leaving;
    case lentillock::rpc::ENDPOINT_HEALTH_DEAD:
        return EndpointHealth::Dead;
    default:
        return EndpointHealth::Suspect;
    }
}

LoadReport toLoadReport(TimePoint now, const lentillock::rpc::LoadReport &report)
{
    LoadReport result{.generation = report.generation(),
                      .draining = report.draining(),
                      .models = {},
                      .totalTokens = report.total_tokens(),
                      .freeTokens = report.free_tokens(),
                      .queuedTokens = report.queued_tokens(),
                      .running = report.running(),
                      .measuredAt = now - milliseconds(report.age_ms())};
    for (const std::string &model : report.models()) {
        result.models.emplace_back(model);
    }
    return result;
}

}

ViewBuilder::ViewBuilder(ZoneId zone)
    : zone_(std::move(zone))
{
}

std::uint64_t ViewBuilder::configVersion() const
{
    return current_ == nullptr ? 0 : current_->view->configVersion;
}

EntryViewPtr ViewBuilder::apply(TimePoint now, const lentillock::rpc::ViewUpdate &update, Findings &findings)
{
    auto view = std::make_shared<ServingView>();
    if (current_ != nullptr) {
        view->configVersion = current_->view->configVersion;
        view->document = current_->view->document;
    }
    view->receivedAt = now;
    if (!update.sections().empty() && (view->document == nullptr || update.config_version() > view->configVersion)) {
        SectionTexts sections = sections_;
        for (const auto &section : update.sections()) {
            sections[section.name()] = section.text();
        }
        if (ServingDocumentPtr document = DocumentValidator::validate(sections, findings)) {
            sections_ = std::move(sections);
            view->document = std::move(document);
            view->configVersion = update.config_version();
        }
    }
    for (const auto &endpoint : update.endpoints()) {
        EndpointState state{.id = EndpointId(endpoint.id()),
                            .health = toEndpointHealth(endpoint.health()),
                            .load = std::nullopt,
                            .observedAt = now - milliseconds(endpoint.observed_age_ms())};
        if (endpoint.has_load()) {
            state.load = toLoadReport(now, endpoint.load());
        }
        view->endpoints.emplace(state.id, std::move(state));
    }
    for (const auto &member : update.members()) {
        view->members.push_back({.id = VmId(member.id()),
                                 .zone = ZoneId(member.zone()),
                                 .controlAddress = member.control_address(),
                                 .configVersion = member.config_version(),
                                 .ready = member.ready()});
    }
    publish(std::move(view));
    return current_;
}

EntryViewPtr ViewBuilder::apply(const std::vector<VmListEntry> &list)
{
    if (current_ == nullptr) {
        return nullptr;
    }
    auto view = std::make_shared<ServingView>(*current_->view);
    for (const VmListEntry &entry : list) {
        if (entry.role == VmRole::Endpoint && entry.state == VmState::Leaving) {
            const EndpointId id(entry.id);
            EndpointState &state = view->endpoints[id];
            state.id = id;
            state.health = EndpointHealth::Leaving;
        }
    }
    publish(std::move(view));
    return current_;
}

std::vector<std::string> ViewBuilder::controlAddresses() const
{
    std::vector<const MemberState *> members;
    if (current_ != nullptr) {
        for (const MemberState &member : current_->view->members) {
            members.push_back(&member);
        }
    }
    const auto rank = [this](const MemberState *member) { return member->ready ? (member->zone == zone_ ? 0 : 1) : 2; };
    std::stable_sort(members.begin(), members.end(), [&](const MemberState *left, const MemberState *right) { return rank(left) < rank(right); });
    std::vector<std::string> addresses;
    addresses.reserve(members.size());
    for (const MemberState *member : members) {
        addresses.push_back(member->controlAddress);
    }
    return addresses;
}

void ViewBuilder::publish(std::shared_ptr<const ServingView> view)
{
    auto next = std::make_shared<EntryView>();
    if (current_ != nullptr && current_->view->document == view->document) {
        next->directory = current_->directory;
    } else if (view->document != nullptr) {
        next->directory = std::make_shared<const WorkspaceDirectory>(view->document);
    }
    next->view = std::move(view);
    current_ = std::move(next);
}

}
