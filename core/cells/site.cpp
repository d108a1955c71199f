#include "core/cells/site.h"

namespace radishvane::cells
{

const Queue *SiteConfig::queueOf(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    const Queue *best = nullptr;
    for (const auto &[id, queue] : queues) {
        if (queue.host != host || path.substr(0, queue.prefix.size()) != queue.prefix) {
            continue;
        }
        if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
            best = &queue;
        }
    }
    return best;
}

} // namespace radishvane::cells
