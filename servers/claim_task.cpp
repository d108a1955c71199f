#include "servers/claim_task.h"

#include "core/base/overloaded.h"

namespace radishvane::servers
{

ClaimTask::ClaimTask(drivers::EventLoop &loop, const Clock &clock, HolderId holder)
    : m_clock(clock), m_holder(std::move(holder)), m_mailbox(loop, [this](Message &&message) {
        std::visit([this](const auto &alternative) { on(alternative); }, message);
    })
{
}

void ClaimTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void ClaimTask::on(const ClaimKey &message)
{
    ClaimRow row{m_holder, message.exchange, m_clock.wallNow()};
    const OperationId id
        = call(WriteRows{{RowWrite{rowKey::claim(message.team, message.idempotencyKey), 0, RowValue(std::move(row))}}});
    m_claiming.emplace(id, message);
}

void ClaimTask::on(const ReleaseClaim &message)
{
    const auto found = m_claimed.find(rowKey::claim(message.team, message.idempotencyKey));
    if (found == m_claimed.end()) {
        return;
    }
    call(WriteRows{{RowWrite{found->first, found->second, std::nullopt}}});
    m_claimed.erase(found);
}

void ClaimTask::on(const PlatformAnswered &message)
{
    const auto found = m_claiming.find(message.id);
    if (found == m_claiming.end()) {
        return;
    }
    const ClaimKey claim = found->second;
    m_claiming.erase(found);
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    if (const auto *written = std::get_if<RowsWritten>(&message.answer)) {
        outcome = ClaimOutcome::Claimed;
        m_claimed[rowKey::claim(claim.team, claim.idempotencyKey)] = written->versions.front();
    } else if (std::holds_alternative<WriteConflict>(message.answer)) {
        outcome = ClaimOutcome::ClaimedBefore;
    }
    decided.emit(ClaimDecided{claim.exchange, outcome});
}

OperationId ClaimTask::call(PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    platformCalled.emit(PlatformCall{id, std::move(request)});
    return id;
}

} // namespace radishvane::servers
