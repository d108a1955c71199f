#include "tests/support/fake_platform.h"

#include "core/base/overloaded.h"

namespace radishvane::tests
{

PlatformAnswer FakePlatform::answer(const PlatformCall &call, PlatformFault fault)
{
    switch (fault) {
    case PlatformFault::None:
        return perform(call);
    case PlatformFault::Down:
        return PlatformFailed{PlatformError::Unavailable, "down"};
    case PlatformFault::Swallowed:
        return PlatformFailed{PlatformError::AnswerLost, "swallowed"};
    case PlatformFault::AnswerLost:
        perform(call);
        return PlatformFailed{PlatformError::AnswerLost, "lost"};
    }
    return perform(call);
}

const std::map<std::string, StoredRow> &FakePlatform::rows() const
{
    return m_rows;
}

const std::map<std::string, int> &FakePlatform::reboots() const
{
    return m_reboots;
}

std::size_t FakePlatform::writes() const
{
    return m_writes;
}

PlatformAnswer FakePlatform::perform(const PlatformCall &call)
{
    return std::visit(Overloaded{
                          [&](const ReadRow &request) -> PlatformAnswer {
                              const auto found = m_rows.find(request.key);
                              if (found == m_rows.end()) {
                                  return RowAbsent{request.key};
                              }
                              return RowFound{found->second};
                          },
                          [&](const ScanRows &request) -> PlatformAnswer {
                              RowsFound found;
                              for (auto row = m_rows.lower_bound(request.prefix);
                                   row != m_rows.end() && row->first.starts_with(request.prefix); ++row) {
                                  found.rows.push_back(row->second);
                              }
                              return found;
                          },
                          [&](const WriteRows &request) -> PlatformAnswer { return write(request, call.writer); },
                          [&](const PutObject &request) -> PlatformAnswer {
                              m_objects[request.name] = request.bytes;
                              return ObjectStored{};
                          },
                          [&](const ReadObject &request) -> PlatformAnswer {
                              const auto found = m_objects.find(request.name);
                              if (found == m_objects.end()) {
                                  return ObjectAbsent{};
                              }
                              return ObjectFound{found->second};
                          },
                          [&](const ListHosts &) -> PlatformAnswer { return HostsListed{}; },
                          [&](const RebootHost &request) -> PlatformAnswer {
                              const int asked = ++m_reboots[request.host.name() + '/' + request.token];
                              return RebootState{asked >= rebootAsks && !neverBack.contains(request.host)};
                          },
                      },
                      call.request);
}

PlatformAnswer FakePlatform::write(const WriteRows &request, const std::string &writer)
{
    for (const RowWrite &write : request.writes) {
        const auto found = m_rows.find(write.key);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != write.expected) {
            return WriteConflict{write.key};
        }
    }
    RowsWritten written;
    for (const RowWrite &write : request.writes) {
        ++m_writes;
        if (!write.value) {
            m_rows.erase(write.key);
            written.versions.push_back(0);
            continue;
        }
        m_rows[write.key] = StoredRow{write.key, ++m_lastVersion, *write.value, writer};
        written.versions.push_back(m_lastVersion);
    }
    return written;
}

} // namespace radishvane::tests
