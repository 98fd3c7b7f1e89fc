#include "standins/engine/httpserver.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::size_t MaxRequestBytes = 16UL << 20U;
constexpr int HandlerThreads = 4;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status)) + "\r\n";
}

class PeerResponder : public HttpResponder
{
public:
    explicit PeerResponder(std::weak_ptr<Pistache::Tcp::Peer> peer)
        : peer_(std::move(peer))
    {
    }

    void send(int status, std::string_view body, std::string_view contentType) override
    {
        std::string message = statusLine(status) + "Content-Type: " + std::string(contentType) + "\r\nContent-Length: " + std::to_string(body.size());
        write(message.append("\r\n\r\n").append(body));
    }

    void beginStream() override
    {
        write(statusLine(200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void sendChunk(std::string_view data) override
    {
        std::array<char, 20> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        write(std::string(size.data(), static_cast<std::size_t>(length)).append(data).append("\r\n"));
    }

    void endStream() override
    {
        write("0\r\n\r\n");
    }

    [[nodiscard]] bool isOpen() const override
    {
        return !peer_.expired();
    }

private:
    // ResponseStream of Pistache 0.0.5 may be used only on the handler's thread; Peer::send() may be called from any thread.
    void write(const std::string &data)
    {
        if (const auto peer = peer_.lock()) {
            peer->send(Pistache::RawBuffer(data, data.size()));
        }
    }

    std::weak_ptr<Pistache::Tcp::Peer> peer_;
};

HttpRequest convert(const Pistache::Http::Request &request)
{
    HttpRequest converted;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = request.resource();
    for (auto parameter = request.query().parameters_begin(); parameter != request.query().parameters_end(); ++parameter) {
        converted.query.insert(*parameter);
    }
    for (const auto &[name, header] : request.headers().rawList()) {
        converted.headers[lowerCase(name)] = header.value();
    }
    converted.body = request.body();
    return converted;
}

class PistacheHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(PistacheHandler)

    explicit PistacheHandler(HttpServer::Handler handler)
        : handler_(std::move(handler))
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
    {
        handler_(convert(request), std::make_shared<PeerResponder>(writer.getPeer()));
    }

private:
    // Overrides the handler of Pistache, which does not respond to "Expect: 100-continue".
    void onInput(const char *buffer, size_t length, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        const auto parser = getParser(peer);
        try {
            if (!parser->feed(buffer, length)) {
                refuse(peer, 413);
                return;
            }
            if (parser->parse() != Pistache::Http::Private::State::Done) {
                sendContinue(std::string_view(buffer, length), peer);
                return;
            }
            peer->setIdle(false);
            handler_(convert(parser->request), std::make_shared<PeerResponder>(peer));
            parser->reset();
        } catch (const Pistache::Http::HttpError &error) {
            refuse(peer, error.code());
            parser->reset();
        } catch (const std::exception &) {
            refuse(peer, 500);
            parser->reset();
        }
    }

    static void refuse(const std::shared_ptr<Pistache::Tcp::Peer> &peer, int status)
    {
        PeerResponder(peer).send(status, R"({"error":{"message":"refused by the HTTP server","runState":"was-not-run"}})", "application/json");
    }

    static void sendContinue(std::string_view input, const std::shared_ptr<Pistache::Tcp::Peer> &peer)
    {
        constexpr std::size_t maxHead = 16'384;
        const std::string head = lowerCase(input.substr(0, maxHead));
        const std::size_t end = head.find("\r\n\r\n");
        if (end != std::string::npos && head.find("\r\nexpect: 100-continue") < end) {
            const std::string response = "HTTP/1.1 100 Continue\r\n\r\n";
            peer->send(Pistache::RawBuffer(response, response.size()));
        }
    }

    HttpServer::Handler handler_;
};

}

struct HttpServer::Private {
    explicit Private(const Pistache::Address &address)
        : endpoint(address)
    {
    }

    Pistache::Http::Endpoint endpoint;
};

HttpServer::HttpServer(const std::string &host, std::uint16_t port, Handler handler)
    : private_(std::make_unique<Private>(Pistache::Address(host, Pistache::Port(port))))
{
    const auto unlimited = std::chrono::hours(24);
    auto options = Pistache::Http::Endpoint::options();
    options.threads(HandlerThreads).maxRequestSize(MaxRequestBytes).headerTimeout(unlimited).bodyTimeout(unlimited).keepaliveTimeout(unlimited);
    options.flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay);
    private_->endpoint.init(options);
    private_->endpoint.setHandler(std::make_shared<PistacheHandler>(std::move(handler)));
    private_->endpoint.serveThreaded();
}

HttpServer::~HttpServer()
{
    private_->endpoint.shutdown();
}

std::uint16_t HttpServer::port() const
{
    return static_cast<std::uint16_t>(private_->endpoint.getPort());
}

}
