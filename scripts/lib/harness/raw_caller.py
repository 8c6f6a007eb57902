"""A caller that reads an answer while it still writes the body of its request, and tells whether the answer is whole."""
from __future__ import annotations

import http.client
import io
import json
import socket
import threading
from dataclasses import dataclass, field

PATIENCE_S = 10.0


@dataclass(frozen=True)
class RawRequest:
    """A request with the header fields of a test's choice."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes = b""
    in_chunks: bool = False

    def encode(self) -> bytes:
        framing = "Transfer-Encoding: chunked" if self.in_chunks else f"Content-Length: {len(self.body)}"
        lines = [f"{self.method} {self.path} HTTP/1.1", *[f"{name}: {text}" for name, text in self.fields.items()]]
        text = b"%x\r\n%b\r\n0\r\n\r\n" % (len(self.body), self.body) if self.in_chunks else self.body
        return "\r\n".join([*lines, framing, "", ""]).encode() + text


@dataclass
class Seen:
    """What a caller saw of one answer."""

    status: int | None = None
    body: bytes = b""
    is_whole: bool = False
    fields: dict[str, str] = field(default_factory=dict)

    @property
    def kind(self) -> str:
        """The status of a failure, whole or cut; as the table has them."""
        return "cut" if not self.is_whole else "whole" if self.status == 200 else str(self.status)

    @property
    def verdict(self) -> str:
        """The verdict in the problem document of a failure."""
        return json.loads(self.body)["verdict"]


class AnswerReader(io.BufferedReader):
    """Stays open after each answer, so that the next one on the connection can be read."""

    def close(self) -> None:
        """Does nothing: the connection is closed by its owner."""


class RawCaller:
    """One connection of a caller to a daemon. The answer is read while the body of the request is written."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout=PATIENCE_S)
        self._reader = AnswerReader(socket.SocketIO(self._socket, "r"))
        self._writers: list[threading.Thread] = []

    def makefile(self, _mode: str) -> AnswerReader:
        """Lets http.client read answers from the connection."""
        return self._reader

    def send(self, request: RawRequest) -> None:
        writer = threading.Thread(target=self._write, args=(request.encode(),), daemon=True)
        self._writers.append(writer)
        writer.start()

    def _write(self, text: bytes) -> None:
        try:
            self._socket.sendall(text)
        except OSError:
            pass  # NOTE: the daemon closed the connection; what it answered is what counts.

    def receive(self, method: str = "GET") -> Seen:
        seen = Seen()
        response = http.client.HTTPResponse(self, method=method)
        try:
            response.begin()
            seen.status, seen.fields = response.status, {name.lower(): text for name, text in response.getheaders()}
            seen.body = response.read()
            seen.is_whole = True
        except (OSError, http.client.HTTPException):
            pass  # NOTE: the answer was cut.
        return seen

    def close(self) -> None:
        """Closes the connection after the last write: a later one would go to the next socket of the same number."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # NOTE: the connection was reset, which ends the writing as well.
        for writer in self._writers:
            writer.join()
        self._socket.close()
