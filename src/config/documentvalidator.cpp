#include "config/documentvalidator.h"

#include "base/jsonreader.h"

#include <boost/json/array.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::size_t MaxIdentifierLength = 128;
constexpr std::int64_t MaxTimeoutMs = 3'600'000;
constexpr std::int64_t DefaultTimeoutMs = 60'000;
constexpr std::int64_t DefaultMaxTimeoutMs = 600'000;
constexpr double MaxRequestsPerSecond = 1e6;
constexpr double MaxTokensPerSecond = 1e9;
constexpr std::int64_t MaxLevel = 1000;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;
constexpr std::int64_t MaxMinEndpoints = 100'000;
constexpr std::int64_t MaxPromptTokens = 10'000'000;
constexpr std::int64_t MaxLinkDelayMs = 10'000;
constexpr double MaxLinkCost = 1e6;
constexpr std::int64_t MaxMemoryTokens = 1'000'000'000'000;
constexpr std::size_t TokenHashLength = 64;

/// Paths that lentillock serves itself, so that no service can be routed there.
constexpr std::array<std::string_view, 6> ReservedPaths{"/v1/completions", "/v1/chat/completions", "/healthz", "/readyz", "/metrics", "/debug"};

bool isIdentifier(std::string_view text)
{
    const auto isLetterOrDigit = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
    };
    return !text.empty() && text.size() <= MaxIdentifierLength && isLetterOrDigit(text.front()) && std::all_of(text.begin(), text.end(), [&](char character) {
        return isLetterOrDigit(character) || character == '.' || character == '_' || character == '-';
    });
}

bool isTokenHash(std::string_view text)
{
    return text.size() == TokenHashLength && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

/// Whether @p text has the form "IP:PORT", with brackets around an IPv6 address.
bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    unsigned port = 0;
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || parsedEnd != end || port == 0 || port > 65535) {
        return false;
    }
    std::string host = text.substr(0, colon);
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1;
}

/// Whether @p path equals @p prefix or is below it.
bool isPathBelow(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

std::string requiredIdentifier(JsonReader &reader, std::string_view name)
{
    std::string value = reader.requiredString(name);
    const boost::json::value *member = reader.member(name);
    if (member != nullptr && member->is_string() && !isIdentifier(value)) {
        reader.addError(name, "must be 1 to 128 letters, digits, '.', '_' or '-', beginning with a letter or digit");
    }
    return value;
}

/// Reads a string that may be absent or empty, but must otherwise be an identifier.
std::string optionalIdentifier(JsonReader &reader, std::string_view name)
{
    std::string value = reader.string(name, {});
    if (!value.empty() && !isIdentifier(value)) {
        reader.addError(name, "must be 1 to 128 letters, digits, '.', '_' or '-', beginning with a letter or digit");
    }
    return value;
}

/// Reads array @p name by calling @p readElement with a reader for each element. The result has the same indices as the array, so that
/// findings of later checks can refer to the elements.
template<typename Element, typename Function>
std::vector<Element> readArray(JsonReader &reader, std::string_view name, Function readElement)
{
    std::vector<Element> result;
    const boost::json::value *value = reader.member(name);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        reader.addError(name, "must be an array");
        return result;
    }
    const std::string pointer = reader.pointerTo(name);
    for (const boost::json::value &element : value->get_array()) {
        JsonReader elementReader(element, reader.source(), pointer + '/' + std::to_string(result.size()), reader.findings());
        result.push_back(readElement(elementReader));
        elementReader.finish();
    }
    return result;
}

Workspace readWorkspace(JsonReader &reader)
{
    Workspace workspace;
    workspace.id = WorkspaceId(requiredIdentifier(reader, "id"));
    workspace.tokenHashes = reader.strings("tokenHashes");
    for (std::size_t index = 0; index < workspace.tokenHashes.size(); ++index) {
        if (!isTokenHash(workspace.tokenHashes[index])) {
            reader.findings().addError(
                reader.source(), reader.pointerTo("tokenHashes") + '/' + std::to_string(index), "must be a SHA-256 digest of 64 lower-case hexadecimal digits");
        }
    }
    workspace.priorityClass = requiredIdentifier(reader, "priorityClass");
    for (std::string &model : reader.strings("models")) {
        workspace.models.emplace_back(std::move(model));
    }
    workspace.requestsPerSecond = reader.number("requestsPerSecond", 0, 0, MaxRequestsPerSecond);
    workspace.tokensPerSecond = reader.number("tokensPerSecond", 0, 0, MaxTokensPerSecond);
    workspace.maxTimeout = milliseconds(reader.integer("maxTimeoutMs", DefaultMaxTimeoutMs, 1, MaxTimeoutMs));
    const std::int64_t defaultTimeout = std::min<std::int64_t>(DefaultTimeoutMs, workspace.maxTimeout.count());
    workspace.defaultTimeout = milliseconds(reader.integer("defaultTimeoutMs", defaultTimeout, 1, MaxTimeoutMs));
    if (workspace.defaultTimeout > workspace.maxTimeout) {
        reader.addError("defaultTimeoutMs", "must not exceed maxTimeoutMs");
    }
    workspace.sharingGroup = optionalIdentifier(reader, "sharingGroup");
    return workspace;
}

PriorityClass readPriorityClass(JsonReader &reader)
{
    PriorityClass priorityClass;
    priorityClass.id = requiredIdentifier(reader, "id");
    priorityClass.level = reader.requiredInteger("level", 0, MaxLevel);
    priorityClass.weight = reader.number("weight", 1.0, MinWeight, MaxWeight);
    return priorityClass;
}

Model readModel(JsonReader &reader)
{
    Model model;
    model.id = ModelId(requiredIdentifier(reader, "id"));
    model.version = requiredIdentifier(reader, "version");
    model.minEndpoints = reader.integer("minEndpoints", 1, 0, MaxMinEndpoints);
    model.maxTokens = reader.requiredInteger("maxTokens", 1, MaxPromptTokens);
    return model;
}

AvailabilityZone readZone(JsonReader &reader)
{
    AvailabilityZone zone;
    zone.id = ZoneId(requiredIdentifier(reader, "id"));
    zone.region = requiredIdentifier(reader, "region");
    return zone;
}

ZoneLink readLink(JsonReader &reader)
{
    ZoneLink link;
    link.from = ZoneId(requiredIdentifier(reader, "from"));
    link.to = ZoneId(requiredIdentifier(reader, "to"));
    link.delay = milliseconds(reader.requiredInteger("delayMs", 0, MaxLinkDelayMs));
    link.cost = reader.number("cost", 0, 0, MaxLinkCost);
    return link;
}

void rejectMembers(JsonReader &reader, std::initializer_list<std::string_view> names, const std::string &message)
{
    for (const std::string_view name : names) {
        if (reader.member(name) != nullptr) {
            reader.addError(name, message);
        }
    }
}

void readEngine(JsonReader &reader, Endpoint &endpoint)
{
    endpoint.model = ModelId(requiredIdentifier(reader, "model"));
    endpoint.memoryTokens = reader.requiredInteger("memoryTokens", 1, MaxMemoryTokens);
    endpoint.checksFencing = reader.boolean("checksFencing", false);
    endpoint.authenticatesOrders = reader.boolean("authenticatesOrders", false);
    rejectMembers(reader, {"pathPrefix", "nonRepeatablePaths"}, "is allowed only for endpoints of kind \"service\"");
}

void readService(JsonReader &reader, Endpoint &endpoint)
{
    endpoint.pathPrefix = reader.requiredString("pathPrefix");
    if (!endpoint.pathPrefix.empty() && (endpoint.pathPrefix.front() != '/' || endpoint.pathPrefix.size() == 1 || endpoint.pathPrefix.back() == '/')) {
        reader.addError("pathPrefix", "must begin with '/', have at least one more character and not end with '/'");
    }
    for (const std::string_view reserved : ReservedPaths) {
        if (isPathBelow(endpoint.pathPrefix, reserved) || isPathBelow(reserved, endpoint.pathPrefix)) {
            reader.addError("pathPrefix", "overlaps with " + std::string(reserved) + ", which lentillock serves itself");
        }
    }
    endpoint.nonRepeatablePaths = reader.strings("nonRepeatablePaths");
    for (std::size_t index = 0; index < endpoint.nonRepeatablePaths.size(); ++index) {
        if (!isPathBelow(endpoint.nonRepeatablePaths[index], endpoint.pathPrefix)) {
            reader.findings().addError(
                reader.source(), reader.pointerTo("nonRepeatablePaths") + '/' + std::to_string(index), "must lie below the endpoint's pathPrefix");
        }
    }
    rejectMembers(reader, {"model", "memoryTokens", "checksFencing", "authenticatesOrders"}, "is allowed only for endpoints of kind \"engine\"");
}

Endpoint readEndpoint(JsonReader &reader)
{
    Endpoint endpoint;
    endpoint.id = EndpointId(requiredIdentifier(reader, "id"));
    endpoint.address = reader.requiredString("address");
    if (!endpoint.address.empty() && !isAddress(endpoint.address)) {
        reader.addError("address", "must be an IP address and a port, for example 10.0.0.7:8000 or [fd00::7]:8000");
    }
    endpoint.zone = ZoneId(requiredIdentifier(reader, "zone"));
    const std::string kind = reader.string("kind", "engine");
    if (kind == "service") {
        endpoint.kind = EndpointKind::Service;
        readService(reader, endpoint);
    } else {
        if (kind != "engine") {
            reader.addError("kind", "must be \"engine\" or \"service\"");
        }
        readEngine(reader, endpoint);
    }
    return endpoint;
}

template<typename Element, typename Key>
void checkUnique(
    const std::vector<Element> &elements, const std::string &section, const std::string &array, const std::string &memberName, Key key, Findings &findings)
{
    std::map<std::string, std::size_t> firstUses;
    for (std::size_t index = 0; index < elements.size(); ++index) {
        const std::string value = key(elements[index]);
        if (value.empty()) {
            continue;
        }
        const auto [existing, isNew] = firstUses.emplace(value, index);
        if (!isNew) {
            std::string pointer = "/" + array + "/" + std::to_string(index);
            pointer.append("/").append(memberName);
            std::string message = "\"" + value + "\" is already used by /";
            message.append(array).append("/").append(std::to_string(existing->second));
            findings.addError(section, std::move(pointer), std::move(message));
        }
    }
}

template<typename Element>
void checkUniqueIds(const std::vector<Element> &elements, const std::string &section, const std::string &array, Findings &findings)
{
    checkUnique(
        elements,
        section,
        array,
        "id",
        [](const Element &element) -> std::string {
            if constexpr (std::is_convertible_v<decltype(element.id), std::string>) {
                return element.id;
            } else {
                return element.id.value();
            }
        },
        findings);
}

void checkUniqueTokens(const std::vector<Workspace> &workspaces, Findings &findings)
{
    std::map<std::string_view, std::size_t> firstUses;
    for (std::size_t index = 0; index < workspaces.size(); ++index) {
        const Workspace &workspace = workspaces[index];
        for (std::size_t token = 0; token < workspace.tokenHashes.size(); ++token) {
            const auto [existing, isNew] = firstUses.emplace(workspace.tokenHashes[token], index);
            if (!isNew) {
                findings.addError("workspaces",
                                  "/workspaces/" + std::to_string(index) + "/tokenHashes/" + std::to_string(token),
                                  "is already used by /workspaces/" + std::to_string(existing->second));
            }
        }
        if (workspace.tokenHashes.empty()) {
            findings.addWarning("workspaces", "/workspaces/" + std::to_string(index), "has no tokenHashes, so no caller can use it");
        }
    }
}

void readWorkspaces(JsonReader &reader, ServingDocument &document)
{
    document.workspaces = readArray<Workspace>(reader, "workspaces", readWorkspace);
    checkUniqueIds(document.workspaces, "workspaces", "workspaces", reader.findings());
    checkUniqueTokens(document.workspaces, reader.findings());
}

void readPriorities(JsonReader &reader, ServingDocument &document)
{
    document.priorityClasses = readArray<PriorityClass>(reader, "classes", readPriorityClass);
    checkUniqueIds(document.priorityClasses, "priorities", "classes", reader.findings());
    document.objectives = {};
    const boost::json::value *value = reader.member("objectives");
    if (value == nullptr) {
        return;
    }
    JsonReader objectives(*value, reader.source(), reader.pointerTo("objectives"), reader.findings());
    document.objectives.longFirstToken = objectives.number("longFirstToken", 1.0, 0, MaxWeight);
    document.objectives.shortSlowdown = objectives.number("shortSlowdown", 1.0, 0, MaxWeight);
    objectives.finish();
    if (document.objectives.longFirstToken + document.objectives.shortSlowdown <= 0) {
        reader.addError("objectives", "must have at least one weight above 0");
    }
}

void readModels(JsonReader &reader, ServingDocument &document)
{
    document.models = readArray<Model>(reader, "models", readModel);
    checkUniqueIds(document.models, "models", "models", reader.findings());
}

void readZones(JsonReader &reader, ServingDocument &document)
{
    document.zones = readArray<AvailabilityZone>(reader, "zones", readZone);
    checkUniqueIds(document.zones, "zones", "zones", reader.findings());
    document.links = readArray<ZoneLink>(reader, "links", readLink);
    std::set<ZoneId> zones;
    for (const AvailabilityZone &zone : document.zones) {
        zones.insert(zone.id);
    }
    std::set<std::pair<ZoneId, ZoneId>> linkedZones;
    for (std::size_t index = 0; index < document.links.size(); ++index) {
        const ZoneLink &link = document.links[index];
        const std::string pointer = "/links/" + std::to_string(index);
        for (const auto &[name, zone] : {std::pair("/from", &link.from), std::pair("/to", &link.to)}) {
            if (!zone->isEmpty() && !zones.contains(*zone)) {
                reader.findings().addError("zones", pointer + name, "zone \"" + zone->value() + "\" does not exist");
            }
        }
        if (!link.from.isEmpty() && link.from == link.to) {
            reader.findings().addError("zones", pointer, "must connect two different zones");
        } else if (!linkedZones.insert(std::minmax(link.from, link.to)).second) {
            reader.findings().addError("zones", pointer, "repeats the link between \"" + link.from.value() + "\" and \"" + link.to.value() + '"');
        }
    }
}

void readEndpoints(JsonReader &reader, ServingDocument &document)
{
    document.endpoints = readArray<Endpoint>(reader, "endpoints", readEndpoint);
    checkUniqueIds(document.endpoints, "endpoints", "endpoints", reader.findings());
    checkUnique(
        document.endpoints, "endpoints", "endpoints", "address", [](const Endpoint &endpoint) { return endpoint.address; }, reader.findings());
}

struct SectionReader {
    std::string_view name;
    std::string_view requiredArray; ///< Must be present unless the text is empty, so that a truncated text does not delete all entries.
    void (*read)(JsonReader &reader, ServingDocument &document);
};

constexpr std::array<SectionReader, SectionNames.size()> SectionReaders{{
    {"workspaces", "workspaces", readWorkspaces},
    {"priorities", "classes", readPriorities},
    {"models", "models", readModels},
    {"zones", "zones", readZones},
    {"endpoints", "endpoints", readEndpoints},
}};

/// Parses section @p name and replaces its content in @p document.
void readSection(const std::string &name, const std::string &text, ServingDocument &document, Findings &findings)
{
    const auto *const section
        = std::find_if(SectionReaders.begin(), SectionReaders.end(), [&](const SectionReader &candidate) { return candidate.name == name; });
    if (section == SectionReaders.end()) {
        findings.addError(name, "", "is not a section; the sections are workspaces, priorities, models, zones and endpoints");
        return;
    }
    const std::optional<boost::json::value> value = text.empty() ? boost::json::object() : parseJson(text, name, findings);
    if (!value) {
        return;
    }
    JsonReader reader(*value, name, "", findings);
    reader.string("owner", {});
    if (!text.empty() && value->is_object() && reader.member(section->requiredArray) == nullptr) {
        reader.addError(section->requiredArray, "is missing");
    }
    section->read(reader, document);
    reader.finish();
}

void checkEndpointReferences(const ServingDocument &document, Findings &findings)
{
    std::set<ZoneId> zones;
    for (const AvailabilityZone &zone : document.zones) {
        zones.insert(zone.id);
    }
    std::map<ModelId, std::int64_t> engineCounts;
    for (const Model &model : document.models) {
        engineCounts[model.id] = 0;
    }
    for (std::size_t index = 0; index < document.endpoints.size(); ++index) {
        const Endpoint &endpoint = document.endpoints[index];
        const std::string pointer = "/endpoints/" + std::to_string(index);
        if (!endpoint.zone.isEmpty() && !zones.contains(endpoint.zone)) {
            findings.addError("endpoints", pointer + "/zone", "zone \"" + endpoint.zone.value() + "\" does not exist in section zones");
        }
        if (endpoint.kind != EndpointKind::Engine || endpoint.model.isEmpty()) {
            continue;
        }
        const auto model = engineCounts.find(endpoint.model);
        if (model == engineCounts.end()) {
            findings.addError("endpoints", pointer + "/model", "model \"" + endpoint.model.value() + "\" does not exist in section models");
        } else {
            ++model->second;
        }
    }
    for (std::size_t index = 0; index < document.models.size(); ++index) {
        const Model &model = document.models[index];
        if (engineCounts[model.id] < model.minEndpoints) {
            findings.addWarning("models",
                                "/models/" + std::to_string(index) + "/minEndpoints",
                                "requires " + std::to_string(model.minEndpoints) + " endpoints, but section endpoints has only "
                                    + std::to_string(engineCounts[model.id]) + " for this model");
        }
    }
}

void checkWorkspaceReferences(const ServingDocument &document, Findings &findings)
{
    std::set<std::string_view> classes;
    for (const PriorityClass &priorityClass : document.priorityClasses) {
        classes.insert(priorityClass.id);
    }
    std::set<std::string_view> modelsAndServices;
    for (const Model &model : document.models) {
        modelsAndServices.insert(model.id.value());
    }
    for (const Endpoint &endpoint : document.endpoints) {
        if (endpoint.kind == EndpointKind::Service) {
            modelsAndServices.insert(endpoint.pathPrefix);
        }
    }
    for (std::size_t index = 0; index < document.workspaces.size(); ++index) {
        const Workspace &workspace = document.workspaces[index];
        const std::string pointer = "/workspaces/" + std::to_string(index);
        if (!workspace.priorityClass.empty() && !classes.contains(workspace.priorityClass)) {
            findings.addError(
                "workspaces", pointer + "/priorityClass", "priority class \"" + workspace.priorityClass + "\" does not exist in section priorities");
        }
        for (std::size_t model = 0; model < workspace.models.size(); ++model) {
            if (!modelsAndServices.contains(workspace.models[model].value())) {
                findings.addError("workspaces",
                                  pointer + "/models/" + std::to_string(model),
                                  '"' + workspace.models[model].value() + "\" is neither a model of section models nor a pathPrefix of section endpoints");
            }
        }
    }
}

ServingDocumentPtr checkReferences(ServingDocument document, const Findings &sectionFindings, Findings &findings)
{
    Findings allFindings = sectionFindings;
    checkWorkspaceReferences(document, allFindings);
    checkEndpointReferences(document, allFindings);
    findings.append(allFindings);
    return allFindings.hasErrors() ? nullptr : std::make_shared<const ServingDocument>(std::move(document));
}

}

bool DocumentValidator::isSection(std::string_view name)
{
    return std::find(SectionNames.begin(), SectionNames.end(), name) != SectionNames.end();
}

ServingDocumentPtr DocumentValidator::validate(const SectionTexts &texts, Findings &findings)
{
    ServingDocument document;
    Findings sectionFindings;
    for (const auto &[name, text] : texts) {
        readSection(name, text, document, sectionFindings);
    }
    return checkReferences(std::move(document), sectionFindings, findings);
}

ServingDocumentPtr DocumentValidator::validateChange(const ServingDocument &current, const std::string &section, const std::string &text, Findings &findings)
{
    ServingDocument document = current;
    Findings sectionFindings;
    readSection(section, text, document, sectionFindings);
    return checkReferences(std::move(document), sectionFindings, findings);
}

bool DocumentValidator::validateSection(const std::string &section, const std::string &text, Findings &findings)
{
    ServingDocument document;
    Findings sectionFindings;
    readSection(section, text, document, sectionFindings);
    findings.append(sectionFindings);
    return !sectionFindings.hasErrors();
}

}
