#include "core/platform/write_resolver.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

WriteResolver::WriteResolver(std::string writer) : m_writer(std::move(writer))
{
}

ResolverEffects WriteResolver::submit(const PlatformCall &call, TimePoint now)
{
    m_effects.clear();
    Pending pending;
    pending.call = call;
    pending.call.writer = m_writer + '-' + std::to_string(++m_lastId);
    pending.deadline = now + resolveTimeout;
    const auto entry = m_pending.emplace(call.id, std::move(pending)).first;
    send(entry->second, call.request, false);
    return std::exchange(m_effects, {});
}

ResolverEffects WriteResolver::answered(const PlatformAnswered &answered, TimePoint now)
{
    m_effects.clear();
    const auto entry = m_outstanding.find(answered.id);
    if (entry == m_outstanding.end()) {
        return {};
    }
    const OutstandingCall call = entry->second;
    m_outstanding.erase(entry);
    const auto found = m_pending.find(call.original);
    if (found == m_pending.end()) {
        return {};
    }
    if (call.isProbe) {
        onProbeAnswer(found->second, answered.answer, now);
    } else if (std::holds_alternative<WriteRows>(found->second.call.request)) {
        onWriteAnswer(found->second, answered.answer, now);
    } else {
        deliver(found->second, answered.answer);
    }
    return std::exchange(m_effects, {});
}

ResolverEffects WriteResolver::timePassed(TimePoint now)
{
    m_effects.clear();
    std::vector<OperationId> due;
    for (const auto &[id, pending] : m_pending) {
        if (pending.inDoubt && !pending.probing && pending.nextProbe <= now) {
            due.push_back(id);
        }
    }
    std::sort(due.begin(), due.end());
    for (const OperationId id : due) {
        Pending &pending = m_pending.at(id);
        if (pending.deadline <= now) {
            deliver(
                pending,
                PlatformFailed{PlatformError::AnswerLost, "outcome of the write still unknown at the resolve timeout"});
        } else {
            probe(pending);
        }
    }
    return std::exchange(m_effects, {});
}

void WriteResolver::send(Pending &pending, PlatformRequest request, bool isProbe)
{
    const OperationId id{++m_lastId};
    m_outstanding.emplace(id, OutstandingCall{pending.call.id, isProbe});
    m_effects.push_back(SendToPlatform{PlatformCall{id, std::move(request), pending.call.writer}});
}

void WriteResolver::onWriteAnswer(Pending &pending, const PlatformAnswer &answer, TimePoint now)
{
    if (const auto *failed = std::get_if<PlatformFailed>(&answer)) {
        if (failed->error == PlatformError::Unavailable && !pending.inDoubt) {
            deliver(pending, answer);
            return;
        }
        pending.inDoubt = true;
        pending.nextProbe = now + probeInterval;
        return;
    }
    if (std::holds_alternative<WriteConflict>(answer) && pending.inDoubt) {
        // The conflicting version may come from an earlier attempt of this same write.
        probe(pending);
        return;
    }
    deliver(pending, answer);
}

void WriteResolver::onProbeAnswer(Pending &pending, const PlatformAnswer &answer, TimePoint now)
{
    pending.probing = false;
    pending.nextProbe = now + probeInterval;
    if (const auto *found = std::get_if<RowFound>(&answer)) {
        onRowProbed(pending, found->row.version, found->row.writer, now);
    } else if (std::holds_alternative<RowAbsent>(answer)) {
        onRowProbed(pending, 0, "", now);
    }
}

void WriteResolver::onRowProbed(Pending &pending, std::uint64_t version, const std::string &writer, TimePoint now)
{
    const auto &writes = std::get<WriteRows>(pending.call.request).writes;
    const RowWrite &write = nextWrite(pending);
    const bool removed = !write.value && version == 0;
    if (pending.versions.empty() && writer != pending.call.writer && !removed) {
        if (version == write.expected) {
            send(pending, pending.call.request, false);
            pending.nextProbe = now + resolveTimeout;
            return;
        }
        deliver(pending, WriteConflict{write.key, true});
        return;
    }
    // A transaction takes effect as a whole, so the other rows are read only for their versions.
    pending.versions.push_back(version);
    if (pending.versions.size() == writes.size()) {
        deliver(pending, RowsWritten{pending.versions});
        return;
    }
    probe(pending);
}

void WriteResolver::probe(Pending &pending)
{
    pending.probing = true;
    send(pending, ReadRow{nextWrite(pending).key}, true);
}

void WriteResolver::deliver(const Pending &pending, PlatformAnswer answer)
{
    const OperationId id = pending.call.id;
    m_effects.push_back(DeliverAnswer{{id, std::move(answer)}});
    m_pending.erase(id);
}

const RowWrite &WriteResolver::nextWrite(const Pending &pending) const
{
    return std::get<WriteRows>(pending.call.request).writes[pending.versions.size()];
}

} // namespace radishvane
