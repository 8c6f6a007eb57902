"""A threaded HTTP server that does not report broken connections and resets all its connections when it ends."""
from __future__ import annotations

import http.server
import socket
import threading
from collections.abc import Callable

from harness.sockets import reset_at_close

POLL_S = 0.02

Answerer = Callable[[http.server.BaseHTTPRequestHandler], None]


class QuietServer(http.server.ThreadingHTTPServer):
    """Serves as soon as it is constructed; its threads end with the process."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address: tuple[str, int], answer: Answerer) -> None:
        class Handler(http.server.BaseHTTPRequestHandler):
            """Passes each request to `answer`."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:  # noqa: N802 (the library's name)
                answer(self)

            def do_POST(self) -> None:  # noqa: N802 (the library's name)
                answer(self)

            def log_message(self, *_: object) -> None:
                """Suppresses the library's log output."""

        self._open: set[socket.socket] = set()
        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": POLL_S}, daemon=True).start()

    def process_request(self, request: socket.socket, client_address: object) -> None:
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: socket.socket) -> None:
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, *_: object) -> None:
        """Suppresses the error output for aborted connections."""

    def end(self) -> None:
        """Stops listening, then resets every open connection."""
        threading.Thread(target=self.shutdown, daemon=True).start()
        self.server_close()
        for connection in list(self._open):
            try:
                reset_at_close(connection)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # NOTE: the connection is already closed.
