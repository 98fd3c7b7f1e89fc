#pragma once

#include "standins/engine/standinserver.h"

namespace Lentillock
{

/// Stand-in of a plain service. Answers each call with its path and the SHA-256 of its body.
class ServiceServer : public StandInServer
{
public:
    explicit ServiceServer(std::string generation);

protected:
    void handleOwn(const HttpRequest &request, const HttpAnswerPtr &answer) override;
    void faultChanged() override;

private:
    std::string generation_;
};

}
