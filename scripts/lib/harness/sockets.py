"""Sockets that are closed with a reset, as if their host had failed."""
from __future__ import annotations

import socket
import struct

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def reset_at_close(connection: socket.socket) -> None:
    """Makes closing the socket send a reset; unsent data is dropped."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
