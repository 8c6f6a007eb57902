"""Sockets that end as a broken host's do."""
from __future__ import annotations

import socket
import struct

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def reset_at_close(connection: socket.socket) -> None:
    """Makes the socket's end a reset: what is unsent is dropped."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
