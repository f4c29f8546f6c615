#include "common/socket_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

size_t
socket_unacknowledged_bytes(evutil_socket_t fd)
{
	int bytes = 0;

	if (ioctl(fd, SIOCOUTQ, &bytes) != 0)
		return 0;
	return bytes > 0 ? (size_t)bytes : 0;
}

bool
socket_was_reset(evutil_socket_t fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	/* While this side is open, the end of the peer's alone leaves the
	 * connection in TCP_CLOSE_WAIT. */
	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
	    info.tcpi_state == TCP_CLOSE;
}
