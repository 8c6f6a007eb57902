"""A loopback proxy that delays, silences or resets what passes, as a bad link does."""
from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Coroutine
from dataclasses import dataclass, field

from harness.sockets import reset_at_close

PIECE_BYTES = 64 * 1024
LOOK_S = 0.02


@dataclass
class LinkState:
    """How a link is; both directions alike unless one is silent."""

    delay_s: float = 0.0
    silent_in: bool = False  # Nothing passes towards the target.
    silent_out: bool = False  # Nothing passes back.


class ProxyLoop:
    """The thread that carries all proxies of one run."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, work: Coroutine) -> object:
        """Runs a coroutine there and waits for it."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def close(self) -> None:
        """Ends the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()


@dataclass
class Proxy:
    """One listening address and where its connections go on."""

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
        """Resets every open connection."""
        self.carrier.call(self._reset())

    def close(self) -> None:
        """Stops listening and resets what is open."""
        self.carrier.call(self._close())

    async def _start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.listen)

    async def _close(self) -> None:
        if self._server is not None:
            self._server.close()
        await self._reset()

    async def _reset(self) -> None:
        for writer in list(self._writers):
            held = writer.get_extra_info("socket")
            if held is not None and held.fileno() >= 0:
                reset_at_close(held)
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
            await asyncio.gather(self._pass_on(reader, target_writer, lambda: self.state.silent_in),
                                 self._pass_on(target_reader, writer, lambda: self.state.silent_out))
        finally:
            self._writers -= pair
            for ended in pair:
                ended.transport.abort()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_silent) -> None:
        try:
            while piece := await reader.read(PIECE_BYTES):
                while is_silent():
                    await asyncio.sleep(LOOK_S)
                if self.state.delay_s > 0:
                    await asyncio.sleep(self.state.delay_s)
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
