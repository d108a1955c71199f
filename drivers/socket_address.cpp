#include "drivers/socket_address.h"

#include <arpa/inet.h>

namespace radishvane::drivers
{

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

} // namespace radishvane::drivers
