#include "core/routing/fair_queue.h"

#include <algorithm>

namespace radishvane
{

void FairQueue::setShare(const TeamId &team, std::uint32_t share)
{
    m_teams[team].share = std::max<std::uint32_t>(share, 1);
}

void FairQueue::push(const WaitingRequest &request)
{
    TeamQueue &queue = m_teams[request.team];
    if (queue.size() == 0) {
        // A team accumulates no credit while it has no requests.
        queue.virtualTime = std::max(queue.virtualTime, minVirtualTime());
    }
    Requests &requests = request.urgency == Urgency::Urgent ? queue.urgent : queue.normal;
    requests.push_back(request);
    m_entries[request.exchange] = Entry{&queue, request.urgency, std::prev(requests.end())};
}

std::optional<WaitingRequest> FairQueue::remove(ExchangeId exchange)
{
    const auto found = m_entries.find(exchange);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return take(found->second);
}

std::optional<WaitingRequest> FairQueue::next(const Eligible &eligible)
{
    if (TeamQueue *queue = pickUrgent(eligible)) {
        return take(Entry{queue, Urgency::Urgent, queue->urgent.begin()});
    }
    if (TeamQueue *queue = pickNormal(eligible)) {
        const Urgency urgency = queue->urgent.empty() ? Urgency::Normal : Urgency::Urgent;
        Requests &requests = urgency == Urgency::Urgent ? queue->urgent : queue->normal;
        return take(Entry{queue, urgency, requests.begin()});
    }
    return std::nullopt;
}

std::optional<WaitingRequest> FairQueue::evictFor(const TeamId &arriving)
{
    const auto longest = std::max_element(m_teams.begin(), m_teams.end(), [](const auto &left, const auto &right) {
        return left.second.normal.size() / left.second.share < right.second.normal.size() / right.second.share;
    });
    if (longest == m_teams.end() || longest->first == arriving || longest->second.normal.empty()) {
        return std::nullopt;
    }
    const auto own = m_teams.find(arriving);
    const double ownLoad = own == m_teams.end() ? 0 : (own->second.size() + 1) / own->second.share;
    if (longest->second.normal.size() / longest->second.share <= ownLoad) {
        return std::nullopt;
    }
    return take(Entry{&longest->second, Urgency::Normal, std::prev(longest->second.normal.end())});
}

void FairQueue::charge(const TeamId &team, double slotMilliseconds)
{
    TeamQueue &queue = m_teams[team];
    queue.virtualTime += slotMilliseconds / queue.share;
}

std::size_t FairQueue::size() const
{
    return m_entries.size();
}

std::size_t FairQueue::size(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.size();
}

double FairQueue::serviceFraction(const TeamId &team) const
{
    double total = 0;
    double own = 1;
    for (const auto &[id, queue] : m_teams) {
        if (id == team) {
            own = queue.share;
        }
        if (id == team || queue.size() > 0) {
            total += queue.share;
        }
    }
    return total > 0 ? own / total : 1.0;
}

FairQueue::TeamQueue *FairQueue::pickUrgent(const Eligible &eligible)
{
    TeamQueue *best = nullptr;
    const double limit = minVirtualTime() + urgentCredit;
    for (auto &[team, queue] : m_teams) {
        if (queue.urgent.empty() || queue.virtualTime > limit || !eligible(team)) {
            continue;
        }
        if (best == nullptr || queue.virtualTime < best->virtualTime) {
            best = &queue;
        }
    }
    return best;
}

FairQueue::TeamQueue *FairQueue::pickNormal(const Eligible &eligible)
{
    TeamQueue *best = nullptr;
    for (auto &[team, queue] : m_teams) {
        if (queue.size() == 0 || !eligible(team)) {
            continue;
        }
        if (best == nullptr || queue.virtualTime < best->virtualTime) {
            best = &queue;
        }
    }
    return best;
}

WaitingRequest FairQueue::take(const Entry &entry)
{
    WaitingRequest request = *entry.position;
    Requests &requests = entry.urgency == Urgency::Urgent ? entry.queue->urgent : entry.queue->normal;
    requests.erase(entry.position);
    m_entries.erase(request.exchange);
    return request;
}

double FairQueue::minVirtualTime() const
{
    std::optional<double> minimum;
    for (const auto &[team, queue] : m_teams) {
        if (queue.size() > 0 && (!minimum || queue.virtualTime < *minimum)) {
            minimum = queue.virtualTime;
        }
    }
    return minimum.value_or(0);
}

} // namespace radishvane
