#pragma once

#include "dispatch/messages.h"
#include "dispatch/servingview.h"
#include "entry/errorreply.h"
#include "entry/httprequestparser.h"
#include "entry/workspacedirectory.h"

#include <memory>
#include <optional>
#include <string>

namespace Lentillock
{

/// The serving view that the filters apply to new requests, with an index of its document.
struct EntryView {
    ServingViewPtr view;
    WorkspaceDirectoryPtr directory;
};

using EntryViewPtr = std::shared_ptr<const EntryView>;

/// Format of the response to a request.
struct ResponseFormat {
    RequestKind kind = RequestKind::Completion;
    bool chat = false;
    bool stream = false;
    std::string model;

    bool operator==(const ResponseFormat &) const = default;
};

/// State of a request while the filters are applied.
struct RequestContext {
    TimePoint now;
    const HttpRequestHead *head = nullptr;
    EntryViewPtr view; ///< Null until a control process has sent one.
    std::string requestId; ///< Identifier in the response to the caller.
    std::string body; ///< Set after applyToHead() and before applyToBody().
    const Workspace *workspace = nullptr;
    ResponseFormat format;
    RequestSpec spec; ///< Filled in by the filters; spec.id is set beforehand.
};

/// Turns HTTP requests into request specifications or refuses them. The filters run in a fixed order and the first refusal ends the chain.
class FilterChain
{
public:
    /// Filters that need only the head, so that a body is read only for a caller who may send it.
    [[nodiscard]] std::optional<ErrorReply> applyToHead(RequestContext &context) const;

    /// Filters that need the body. Moves the body into the specification.
    [[nodiscard]] std::optional<ErrorReply> applyToBody(RequestContext &context) const;

private:
    using Filter = std::optional<ErrorReply> (FilterChain::*)(RequestContext &) const;

    std::optional<ErrorReply> readRequestId(RequestContext &context) const;
    std::optional<ErrorReply> checkVersion(RequestContext &context) const;
    std::optional<ErrorReply> checkPath(RequestContext &context) const;
    std::optional<ErrorReply> requireView(RequestContext &context) const;
    std::optional<ErrorReply> authenticate(RequestContext &context) const;
    std::optional<ErrorReply> findRoute(RequestContext &context) const;
    std::optional<ErrorReply> checkContentType(RequestContext &context) const;
    std::optional<ErrorReply> readTimeout(RequestContext &context) const;
    std::optional<ErrorReply> readIdempotency(RequestContext &context) const;

    std::optional<ErrorReply> readBody(RequestContext &context) const;
    std::optional<ErrorReply> checkModel(RequestContext &context) const;
    std::optional<ErrorReply> checkLength(RequestContext &context) const;
};

/// Whether @p text is a UUID of version 7 in its usual form of 36 characters.
bool isUuidVersion7(std::string_view text);

}
