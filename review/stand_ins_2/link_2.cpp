// A network path: forwards TCP connections from one loopback port to another. SIGUSR1 cuts it without a reset, SIGUSR2
// heals it. Connections that were open during the cut stay silent for good; new ones work.
//
// way=FROM:TO, once or more often. late=MS: the first start order that comes is not answered, and is carried out so
// much later, at whatever listens there then.

#include "common_2.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <csignal>
#include <memory>
#include <netinet/in.h>
#include <set>
#include <unistd.h>

namespace
{

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

class Links;

struct Pair
{
    Links *links = nullptr;
    bufferevent *near = nullptr;
    bufferevent *far = nullptr;
    std::uint16_t to = 0;
};

class Links
{
public:
    Links(event_base *base, std::int64_t late) : m_base(base), m_late(late)
    {
        for (const int number : {SIGUSR1, SIGUSR2}) {
            event_add(evsignal_new(base, number, &Links::signalled, this), nullptr);
        }
    }

    bool add(std::uint16_t from, std::uint16_t to)
    {
        m_ways.push_back(std::make_unique<Way>(Way{this, to}));
        const sockaddr_in address = loopbackAddress(from);
        return evconnlistener_new_bind(m_base, &Links::accepted, m_ways.back().get(),
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                       reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            != nullptr;
    }

private:
    struct Way
    {
        Links *links = nullptr;
        std::uint16_t to = 0;
    };

    struct Kept
    {
        Links *links = nullptr;
        std::uint16_t to = 0;
        std::string bytes;
    };

    static void signalled(evutil_socket_t number, short, void *self)
    {
        auto *links = static_cast<Links *>(self);
        links->m_isCut = number == SIGUSR1;
        if (!links->m_isCut) {
            return;
        }
        for (Pair *pair : links->m_open) {
            for (bufferevent *side : {pair->near, pair->far}) {
                bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
                bufferevent_disable(side, EV_READ | EV_WRITE);
            }
        }
        // They stay open and silent.
        links->m_open.clear();
    }

    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *target)
    {
        const auto *way = static_cast<Way *>(target);
        Links *links = way->links;
        if (links->m_isCut) {
            // The opening packet is lost; the socket stays open and silent.
            return;
        }
        auto *pair = new Pair{links, nullptr, nullptr, way->to};
        pair->near = bufferevent_socket_new(links->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        pair->far = bufferevent_socket_new(links->m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        for (bufferevent *side : {pair->near, pair->far}) {
            bufferevent_setcb(side, &Links::read, nullptr, &Links::ended, pair);
        }
        const sockaddr_in address = loopbackAddress(way->to);
        links->m_open.insert(pair);
        bufferevent_enable(pair->near, EV_READ | EV_WRITE);
        bufferevent_enable(pair->far, EV_READ | EV_WRITE);
        if (bufferevent_socket_connect(pair->far, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            close(pair);
        }
    }

    static void read(bufferevent *side, void *target)
    {
        auto *pair = static_cast<Pair *>(target);
        bufferevent *other = side == pair->near ? pair->far : pair->near;
        if (side == pair->near && pair->links->keepsBack(pair)) {
            return;
        }
        evbuffer_add_buffer(bufferevent_get_output(other), bufferevent_get_input(side));
    }

    /// Whether this is the start order that is carried out late. Its connection stays open and silent.
    bool keepsBack(Pair *pair)
    {
        evbuffer *input = bufferevent_get_input(pair->near);
        const std::string order = "POST /-/run-start";
        if (m_late == 0 || evbuffer_search(input, order.c_str(), order.size(), nullptr).pos < 0) {
            return false;
        }
        auto *kept = new Kept{this, pair->to, std::string(evbuffer_get_length(input), ' ')};
        evbuffer_remove(input, kept->bytes.data(), kept->bytes.size());
        const timeval wait{static_cast<time_t>(m_late / 1'000), static_cast<suseconds_t>(m_late % 1'000 * 1'000)};
        event_base_once(m_base, -1, EV_TIMEOUT, &Links::carryOut, kept, &wait);
        m_late = 0;
        m_open.erase(pair);
        for (bufferevent *side : {pair->near, pair->far}) {
            bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
            bufferevent_disable(side, EV_READ | EV_WRITE);
        }
        return true;
    }

    static void carryOut(evutil_socket_t, short, void *target)
    {
        const std::unique_ptr<Kept> kept(static_cast<Kept *>(target));
        bufferevent *far = bufferevent_socket_new(kept->links->m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        const sockaddr_in address = loopbackAddress(kept->to);
        bufferevent_enable(far, EV_READ | EV_WRITE);
        bufferevent_write(far, kept->bytes.data(), kept->bytes.size());
        bufferevent_socket_connect(far, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    static void ended(bufferevent *, short what, void *target)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            close(static_cast<Pair *>(target));
        }
    }

    static void close(Pair *pair)
    {
        pair->links->m_open.erase(pair);
        bufferevent_free(pair->near);
        bufferevent_free(pair->far);
        delete pair;
    }

    event_base *m_base;
    /// Delay of the start order that is carried out late; 0 when none is to come.
    std::int64_t m_late;
    bool m_isCut = false;
    std::set<Pair *> m_open;
    std::vector<std::unique_ptr<Way>> m_ways;
};

} // namespace

int main(int count, char **values)
{
    const review::Arguments arguments(count, values);
    std::signal(SIGPIPE, SIG_IGN);
    event_base *base = event_base_new();
    Links links(base, arguments.number("late", 0));
    for (const std::string &way : arguments.all("way")) {
        const auto ports = review::split(way, ':');
        if (ports.size() != 2
            || !links.add(static_cast<std::uint16_t>(std::stoi(ports[0])),
                          static_cast<std::uint16_t>(std::stoi(ports[1])))) {
            std::cerr << "a port cannot be bound\n";
            return 2;
        }
    }
    event_base_dispatch(base);
    return 0;
}
