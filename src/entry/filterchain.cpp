#include "entry/filterchain.h"

#include "base/pathprefix.h"
#include "entry/completionbody.h"
#include "routing/prefixblocks.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace Lentillock
{

namespace
{

constexpr std::size_t MaxRequestIdBytes = 128;

// Used if the document sets no timeouts for the workspace.
constexpr milliseconds DefaultTimeout{60'000};
constexpr milliseconds DefaultMaxTimeout{600'000};

constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";

ErrorReply makeError(int status, std::string code, std::string message)
{
    return {.status = status, .code = std::move(code), .message = std::move(message)};
}

bool isRequestIdCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.' || character == ':';
}

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

/// Whether the path has a "." or ".." segment, including percent-encoded ones. An endpoint may resolve such a segment to a path outside the permitted prefix.
bool hasDotSegment(std::string_view path)
{
    std::string decoded;
    for (std::size_t index = 0; index < path.size(); ++index) {
        const std::string_view rest = path.substr(index);
        if (rest.starts_with('%') && (equalIgnoringCase(rest.substr(0, 3), "%2e") || equalIgnoringCase(rest.substr(0, 3), "%2f"))) {
            decoded += std::tolower(static_cast<unsigned char>(rest[2])) == 'e' ? '.' : '/';
            index += 2;
        } else {
            decoded += path[index];
        }
    }
    decoded += '/';
    return decoded.find("/./") != std::string::npos || decoded.find("/../") != std::string::npos;
}

bool isPermitted(const Workspace &workspace, std::string_view name)
{
    return std::any_of(workspace.models.begin(), workspace.models.end(), [&](const ModelId &model) { return model.value() == name; });
}

}

bool isUuidVersion7(std::string_view text)
{
    constexpr std::size_t length = 36;
    constexpr std::size_t versionIndex = 14;
    constexpr std::size_t variantIndex = 19;
    if (text.size() != length || text[versionIndex] != '7') {
        return false;
    }
    for (std::size_t index = 0; index < length; ++index) {
        const bool dash = index == 8 || index == 13 || index == 18 || index == 23;
        if (dash ? text[index] != '-' : std::isxdigit(static_cast<unsigned char>(text[index])) == 0) {
            return false;
        }
    }
    return std::string_view("89abAB").find(text[variantIndex]) != std::string_view::npos;
}

std::optional<ErrorReply> FilterChain::applyToHead(RequestContext &context) const
{
    static constexpr std::array<Filter, 9> Filters{&FilterChain::readRequestId,
                                                   &FilterChain::checkVersion,
                                                   &FilterChain::checkPath,
                                                   &FilterChain::requireView,
                                                   &FilterChain::authenticate,
                                                   &FilterChain::findRoute,
                                                   &FilterChain::checkContentType,
                                                   &FilterChain::readTimeout,
                                                   &FilterChain::readIdempotency};
    for (const Filter filter : Filters) {
        if (auto error = (this->*filter)(context)) {
            return error;
        }
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::applyToBody(RequestContext &context) const
{
    static constexpr std::array<Filter, 3> Filters{&FilterChain::readBody, &FilterChain::checkModel, &FilterChain::checkLength};
    for (const Filter filter : Filters) {
        if (auto error = (this->*filter)(context)) {
            return error;
        }
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::readRequestId(RequestContext &context) const
{
    const std::string *given = context.head->field("lentillock-request-id");
    if (given == nullptr) {
        return std::nullopt;
    }
    if (given->empty() || given->size() > MaxRequestIdBytes || !std::all_of(given->begin(), given->end(), isRequestIdCharacter)) {
        return makeError(400, "invalid_header", "Lentillock-Request-Id must be 1 to 128 letters, digits, '-', '_', '.' or ':'");
    }
    context.requestId = *given;
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::checkVersion(RequestContext &context) const
{
    if (context.head->http10) {
        // Without chunked encoding, the end of a response cannot be distinguished from a broken connection.
        return makeError(505, "http_version_not_supported", "HTTP/1.1 is needed");
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::checkPath(RequestContext &context) const
{
    if (hasDotSegment(context.head->path())) {
        return makeError(400, "invalid_path", "the path must not contain '.' or '..' segments");
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::requireView(RequestContext &context) const
{
    if (context.view == nullptr || context.view->directory == nullptr) {
        ErrorReply error = makeError(503, "not_ready", "the entry has no configuration yet");
        error.retryAfter = milliseconds(1000);
        return error;
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::authenticate(RequestContext &context) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string *authorization = context.head->field("authorization");
    if (authorization == nullptr || authorization->size() <= scheme.size() || !equalIgnoringCase(authorization->substr(0, scheme.size()), scheme)) {
        return makeError(401, "unauthenticated", "a bearer token is needed");
    }
    std::string_view token = std::string_view(*authorization).substr(scheme.size());
    token.remove_prefix(std::min(token.find_first_not_of(' '), token.size()));
    context.workspace = context.view->directory->findByToken(token);
    if (context.workspace == nullptr) {
        return makeError(401, "unauthenticated", "the bearer token is not known");
    }
    context.spec.workspace = context.workspace->id;
    const std::string &group = context.workspace->sharingGroup;
    context.spec.cacheSalt = group.empty() ? "workspace:" + context.workspace->id.value() : "group:" + group;
    context.spec.priority = context.view->directory->priorityLevel(context.workspace->priorityClass);
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::findRoute(RequestContext &context) const
{
    const std::string_view path = context.head->path();
    if (path == CompletionPath || path == ChatPath) {
        context.format.chat = path == ChatPath;
        context.spec.kind = RequestKind::Completion;
        return context.head->method == "POST" ? std::nullopt : std::optional(makeError(405, "method_not_allowed", "only POST is allowed here"));
    }
    const Endpoint *service = context.view->directory->findService(path);
    // A service that the workspace may not use is reported as not found, so as not to disclose the services of other workspaces.
    if (service == nullptr || !isPermitted(*context.workspace, service->pathPrefix)) {
        return makeError(404, "not_found", "there is nothing under this path");
    }
    constexpr std::array<std::string_view, 6> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    if (std::find(methods.begin(), methods.end(), context.head->method) == methods.end()) {
        return makeError(405, "method_not_allowed", "only GET, HEAD, POST, PUT, PATCH and DELETE are allowed here");
    }
    context.format.kind = RequestKind::Service;
    context.spec.kind = RequestKind::Service;
    context.spec.method = context.head->method;
    context.spec.path = context.head->target;
    const auto &paths = service->nonRepeatablePaths;
    context.spec.idempotent = std::none_of(paths.begin(), paths.end(), [&](const std::string &prefix) { return hasPathPrefix(path, prefix); });
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::checkContentType(RequestContext &context) const
{
    const std::string *type = context.head->field("content-type");
    if (context.spec.kind == RequestKind::Service) {
        context.spec.contentType = type == nullptr ? std::string() : *type;
        return std::nullopt;
    }
    const std::string_view media = type == nullptr ? std::string_view() : std::string_view(*type).substr(0, type->find_first_of("; "));
    if (!media.empty() && !equalIgnoringCase(media, "application/json")) {
        return makeError(415, "unsupported_media_type", "Content-Type must be application/json");
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::readTimeout(RequestContext &context) const
{
    const milliseconds timeoutLimit = context.workspace->maxTimeout.count() > 0 ? context.workspace->maxTimeout : DefaultMaxTimeout;
    milliseconds timeout = context.workspace->defaultTimeout.count() > 0 ? context.workspace->defaultTimeout : DefaultTimeout;
    if (const std::string *given = context.head->field("lentillock-timeout-ms")) {
        std::int64_t number = 0;
        const auto [end, error] = std::from_chars(given->data(), given->data() + given->size(), number);
        if (error != std::errc() || end != given->data() + given->size() || number < 1) {
            return makeError(400, "invalid_header", "Lentillock-Timeout-Ms must be a positive number of milliseconds");
        }
        timeout = milliseconds(number);
    }
    context.spec.deadline = context.now + std::min(timeout, timeoutLimit);
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::readIdempotency(RequestContext &context) const
{
    if (const std::string *given = context.head->field("lentillock-idempotent")) {
        if (*given != "true" && *given != "false") {
            return makeError(400, "invalid_header", "Lentillock-Idempotent must be true or false");
        }
        context.spec.idempotent = *given == "true";
    }
    const std::string *key = context.head->field("idempotency-key");
    if (key == nullptr) {
        return context.spec.idempotent ? std::nullopt
                                       : std::optional(makeError(400, "idempotency_key_required", "a request that is not idempotent needs an Idempotency-Key"));
    }
    if (!isUuidVersion7(*key)) {
        return makeError(400, "invalid_idempotency_key", "Idempotency-Key must be a UUID of version 7");
    }
    context.spec.idempotencyKey = *key;
    std::transform(
        key->begin(), key->end(), context.spec.idempotencyKey.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::readBody(RequestContext &context) const
{
    if (context.spec.kind == RequestKind::Service) {
        context.spec.prompt = std::make_shared<const std::string>(std::move(context.body));
        return std::nullopt;
    }
    std::optional<ErrorReply> error;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(body, context.format.chat ? parseChatBody(context.body) : parseCompletionBody(context.body));
            std::string().swap(context.body); // Assigning an empty string would keep the capacity.
            context.format.stream = body.stream;
            context.format.model = body.model;
            context.spec.model = ModelId(std::move(body.model));
            context.spec.maxTokens = body.maxTokens;
            context.spec.promptTokens = estimatedTokens(body.prompt);
            context.spec.prefixBlocks = prefixBlockHashes(body.prompt, context.spec.cacheSalt);
            context.spec.prompt = std::make_shared<const std::string>(std::move(body.prompt));
            return {};
        },
        [&](const BodyError &bodyError) {
            error = makeError(400, "invalid_body", (bodyError.pointer.empty() ? std::string() : bodyError.pointer + ": ") + bodyError.message);
        },
        [&] { error = makeError(400, "invalid_body", "the body cannot be read"); });
    return error;
}

std::optional<ErrorReply> FilterChain::checkModel(RequestContext &context) const
{
    if (context.spec.kind == RequestKind::Service) {
        return std::nullopt;
    }
    if (!isPermitted(*context.workspace, context.spec.model.value()) || context.view->directory->model(context.spec.model) == nullptr) {
        return makeError(403, "model_not_permitted", "the workspace may not use this model");
    }
    return std::nullopt;
}

std::optional<ErrorReply> FilterChain::checkLength(RequestContext &context) const
{
    if (context.spec.kind == RequestKind::Service) {
        return std::nullopt;
    }
    const std::int64_t maxTokens = context.view->directory->model(context.spec.model)->maxTokens;
    if (maxTokens > 0 && context.spec.promptTokens > static_cast<std::uint64_t>(maxTokens)) {
        return makeError(400,
                         "prompt_too_long",
                         "the prompt has about " + std::to_string(context.spec.promptTokens) + " tokens, the model admits " + std::to_string(maxTokens));
    }
    return std::nullopt;
}

}
