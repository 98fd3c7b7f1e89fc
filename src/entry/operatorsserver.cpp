#include "entry/operatorsserver.h"

#include <pistache/endpoint.h>

#include <utility>

namespace Lentillock
{

namespace
{

class OperatorsHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(OperatorsHandler)

    explicit OperatorsHandler(OperatorsServer::Handler handler)
        : handler_(std::move(handler))
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
    {
        using Pistache::Http::Code;
        if (request.method() != Pistache::Http::Method::Get) {
            writer.send(Code::Method_Not_Allowed);
            return;
        }
        const OperatorsServer::Reply reply = handler_(request.resource(), request.query().get("request").value_or(""));
        writer.send(static_cast<Code>(reply.status), reply.body, Pistache::Http::Mime::MediaType::fromString(reply.contentType));
    }

private:
    OperatorsServer::Handler handler_;
};

}

class OperatorsServer::Implementation
{
public:
    Implementation(const std::string &address, Handler handler)
        : endpoint_(Pistache::Address(address))
    {
        using Pistache::Tcp::Options;
        const Pistache::Flags<Options> flags(Options::ReuseAddr | Options::CloseOnExec);
        endpoint_.init(Pistache::Http::Endpoint::options().threads(1).flags(flags));
        endpoint_.setHandler(Pistache::Http::make_handler<OperatorsHandler>(std::move(handler)));
        endpoint_.serveThreaded();
    }

    ~Implementation()
    {
        endpoint_.shutdown();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return endpoint_.getPort();
    }

private:
    Pistache::Http::Endpoint endpoint_;
};

OperatorsServer::OperatorsServer(const std::string &address, Handler handler)
    : implementation_(std::make_unique<Implementation>(address, std::move(handler)))
{
}

OperatorsServer::~OperatorsServer() = default;

std::uint16_t OperatorsServer::port() const
{
    return implementation_->port();
}

}
