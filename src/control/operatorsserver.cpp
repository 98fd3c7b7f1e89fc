#include "control/operatorsserver.h"

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

    explicit OperatorsHandler(OperatorsCallbacks callbacks)
        : callbacks_(std::move(callbacks))
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response) override
    {
        using Pistache::Http::Code;
        const std::string &path = request.resource();
        if (request.method() != Pistache::Http::Method::Get) {
            response.send(Code::Method_Not_Allowed, "only GET is supported\n");
        } else if (path == "/metrics") {
            response.send(Code::Ok, callbacks_.metrics(), MIME(Text, Plain));
        } else if (path == "/debug/state") {
            response.send(Code::Ok, callbacks_.state(), MIME(Application, Json));
        } else if (path == "/healthz") {
            response.send(Code::Ok, "ok\n");
        } else if (path == "/readyz") {
            const bool ready = callbacks_.ready();
            response.send(ready ? Code::Ok : Code::Service_Unavailable, ready ? "ready\n" : "not ready\n");
        } else {
            response.send(Code::Not_Found, "no such page\n");
        }
    }

private:
    OperatorsCallbacks callbacks_;
};

}

struct OperatorsServer::Server {
    explicit Server(const std::string &address)
        : endpoint(Pistache::Address(address))
    {
    }

    Pistache::Http::Endpoint endpoint;
};

leaf::result<std::unique_ptr<OperatorsServer>> OperatorsServer::listen(const std::string &address, OperatorsCallbacks callbacks)
{
    try {
        auto server = std::make_unique<Server>(address);
        server->endpoint.init(Pistache::Http::Endpoint::options().threads(1).flags(Pistache::Tcp::Options::ReuseAddr));
        server->endpoint.setHandler(Pistache::Http::make_handler<OperatorsHandler>(std::move(callbacks)));
        server->endpoint.serveThreaded();
        const std::string bound = address.substr(0, address.rfind(':') + 1) + std::to_string(static_cast<std::uint16_t>(server->endpoint.getPort()));
        return std::unique_ptr<OperatorsServer>(new OperatorsServer(bound, std::move(server)));
    } catch (const std::exception &error) {
        return leaf::new_error("cannot listen on operators' address " + address + ": " + error.what());
    }
}

OperatorsServer::OperatorsServer(std::string address, std::unique_ptr<Server> server)
    : address_(std::move(address))
    , server_(std::move(server))
{
}

OperatorsServer::~OperatorsServer()
{
    server_->endpoint.shutdown();
}

const std::string &OperatorsServer::address() const
{
    return address_;
}

}
