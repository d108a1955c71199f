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
    pending.deadline = now + resolveWithin;
    const auto entry = m_pending.emplace(call.id, std::move(pending)).first;
    send(entry->second, call.request, false);
    return std::exchange(m_effects, {});
}

ResolverEffects WriteResolver::answered(const PlatformAnswered &answered, TimePoint now)
{
    m_effects.clear();
    const auto asked = m_asked.find(answered.id);
    if (asked == m_asked.end()) {
        return {};
    }
    const Asked what = asked->second;
    m_asked.erase(asked);
    const auto found = m_pending.find(what.original);
    if (found == m_pending.end()) {
        return {};
    }
    if (what.isLook) {
        onLook(found->second, answered.answer, now);
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
        if (pending.inDoubt && !pending.looking && pending.nextLook <= now) {
            due.push_back(id);
        }
    }
    std::sort(due.begin(), due.end());
    for (const OperationId id : due) {
        Pending &pending = m_pending.at(id);
        if (pending.deadline <= now) {
            deliver(pending, PlatformFailed{PlatformError::AnswerLost, "the write stayed in doubt"});
        } else {
            look(pending);
        }
    }
    return std::exchange(m_effects, {});
}

void WriteResolver::send(Pending &pending, PlatformRequest request, bool isLook)
{
    const OperationId id{++m_lastId};
    m_asked.emplace(id, Asked{pending.call.id, isLook});
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
        pending.nextLook = now + lookInterval;
        return;
    }
    if (std::holds_alternative<WriteConflict>(answer) && pending.inDoubt) {
        // The version that conflicts may be this very write, sent before.
        look(pending);
        return;
    }
    deliver(pending, answer);
}

void WriteResolver::onLook(Pending &pending, const PlatformAnswer &answer, TimePoint now)
{
    pending.looking = false;
    pending.nextLook = now + lookInterval;
    if (const auto *found = std::get_if<RowFound>(&answer)) {
        onRowSeen(pending, found->row.version, found->row.writer, now);
    } else if (std::holds_alternative<RowAbsent>(answer)) {
        onRowSeen(pending, 0, "", now);
    }
}

void WriteResolver::onRowSeen(Pending &pending, std::uint64_t version, const std::string &writer, TimePoint now)
{
    const auto &writes = std::get<WriteRows>(pending.call.request).writes;
    const RowWrite &write = nextWrite(pending);
    const bool removed = !write.value && version == 0;
    if (pending.versions.empty() && writer != pending.call.writer && !removed) {
        if (version == write.expected) {
            send(pending, pending.call.request, false);
            pending.nextLook = now + resolveWithin;
            return;
        }
        deliver(pending, WriteConflict{write.key, true});
        return;
    }
    // The transaction took effect as a whole, so the other rows only have to be read for their versions.
    pending.versions.push_back(version);
    if (pending.versions.size() == writes.size()) {
        deliver(pending, RowsWritten{pending.versions});
        return;
    }
    look(pending);
}

void WriteResolver::look(Pending &pending)
{
    pending.looking = true;
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
