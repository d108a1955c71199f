#include "core/cells/call_authorizer.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

constexpr std::size_t jobIdLength = 16;
/// Part of maxKeyAge, in tenths, after which a host without contact to the operator's table refuses all keys.
constexpr int maxKeyAgeTenths = 6;

bool isJobId(std::string_view text)
{
    const auto isHexDigit = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') || (letter >= 'A' && letter <= 'F');
    };
    return text.size() == jobIdLength && std::all_of(text.begin(), text.end(), isHexDigit);
}

} // namespace

CallAuthorizer::CallAuthorizer(Duration maxKeyAge) : m_maxKeyAge(maxKeyAge)
{
}

void CallAuthorizer::observe(const SiteConfigPtr &config)
{
    if (!m_config || config->version >= m_config->version) {
        m_config = config;
    }
}

void CallAuthorizer::observeContact(TimePoint queriedAt)
{
    m_lastContact = std::max(m_lastContact, queriedAt);
}

bool CallAuthorizer::hasFreshKeys(TimePoint now) const
{
    return m_config && now - m_lastContact < m_maxKeyAge * maxKeyAgeTenths / 10;
}

TimePoint CallAuthorizer::lastContact() const
{
    return m_lastContact;
}

const SiteConfigPtr &CallAuthorizer::config() const
{
    return m_config;
}

CallVerdict CallAuthorizer::check(const CallRequest &call, TimePoint now) const
{
    if (!m_config) {
        return CallRefusal::NoConfig;
    }
    const Queue *queue = m_config->queueOf(call.host, call.path);
    if (queue == nullptr) {
        return CallRefusal::UnknownQueue;
    }
    AuthorizedCall pass;
    pass.kind = call.kind;
    pass.queue = queue->id;
    if (!queue->open) {
        const auto key = m_config->keys.find(call.key);
        if (key == m_config->keys.end()) {
            return CallRefusal::UnknownKey;
        }
        if (!hasFreshKeys(now)) {
            return CallRefusal::StaleKeys;
        }
        pass.team = key->second;
    }
    const std::string jobName = call.path.substr(queue->prefix.size());
    if (jobName.empty()) {
        return call.kind == CallKind::Query ? CallVerdict(pass) : CallVerdict(CallRefusal::BadJobId);
    }
    if (!isJobId(jobName)) {
        return CallRefusal::BadJobId;
    }
    if (call.kind == CallKind::Other) {
        return CallRefusal::UnknownCall;
    }
    pass.job = JobId(jobName);
    return pass;
}

} // namespace radishvane::cells
