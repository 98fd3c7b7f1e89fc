#pragma once

#include "standins/engine/standinserver.h"

namespace Lentillock
{

/// Stand-in for a plain service. Responds to each call with its path and the SHA-256 digest of its body.
class ServiceServer : public StandInServer
{
public:
    explicit ServiceServer(std::string generation);

protected:
    void handleRequest(const HttpRequest &request, const HttpResponderPtr &responder) override;
    void onFaultChanged() override;

private:
    std::string generation_;
};

}
