"""A loopback proxy that simulates a faulty link: it delays data, blocks it, or resets connections."""
from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Coroutine
from dataclasses import dataclass, field

from harness.sockets import reset_at_close

CHUNK_BYTES = 64 * 1024
POLL_INTERVAL_S = 0.02


@dataclass
class LinkState:
    """The state of a link. The delay applies to both directions; each direction can be silent on its own."""

    delay_s: float = 0.0
    silent_in: bool = False  # No data passes towards the target.
    silent_out: bool = False  # No data passes back from the target.


class ProxyLoop:
    """The thread with the event loop of all proxies of one run."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, work: Coroutine) -> object:
        """Runs a coroutine on the event loop and waits for its result. Must not be called from the loop's thread."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def close(self) -> None:
        """Stops the event loop and waits for the end of its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()


@dataclass
class Proxy:
    """Forwards connections from a listening address to a target."""

    carrier: ProxyLoop
    listen: tuple[str, int]
    target: tuple[str, int]
    state: LinkState = field(default_factory=LinkState)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.listen[0]}:{self.listen[1]}"

    def start(self) -> None:
        self.carrier.call(self._start())

    def reset(self) -> None:
        """Resets every open connection; the proxy keeps listening."""
        self.carrier.call(self._reset())

    def close(self) -> None:
        """Stops listening and resets every open connection."""
        self.carrier.call(self._close())

    async def _start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.listen)

    async def _close(self) -> None:
        if self._server is not None:
            self._server.close()
        await self._reset()

    async def _reset(self) -> None:
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                reset_at_close(connection)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(self._forward(reader, target_writer, lambda: self.state.silent_in),
                                 self._forward(target_reader, writer, lambda: self.state.silent_out))
        finally:
            self._writers -= pair
            for ended in pair:
                ended.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_silent) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                while is_silent():
                    await asyncio.sleep(POLL_INTERVAL_S)
                if self.state.delay_s > 0:
                    await asyncio.sleep(self.state.delay_s)
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
