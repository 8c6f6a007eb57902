"""Tests that the soak's proxies close cleanly even if some of their connections have already ended."""
import asyncio
import socket
import unittest

from soak.fleet import close_all
from soak.proxy import Proxy, ProxyLoop

PATIENCE_S = 10.0


def accept(listening: socket.socket) -> socket.socket:
    listening.settimeout(PATIENCE_S)
    return listening.accept()[0]


async def abort_one(proxy: Proxy) -> None:
    """Aborts one connection of a proxied pair; the proxy has not handled its end yet, and the other one is open."""
    next(iter(proxy._writers)).transport.abort()
    await asyncio.sleep(0)


async def end_tasks() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    await asyncio.gather(*others, return_exceptions=True)


class ProxyTests(unittest.TestCase):
    def test_an_already_closed_connection_does_not_make_the_reset_fail(self) -> None:
        carrier = ProxyLoop()
        self.addCleanup(carrier.close)
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        free = socket.create_server(("127.0.0.1", 0))
        address = free.getsockname()
        free.close()
        proxy = Proxy(carrier, address, listening.getsockname())
        proxy.start()
        caller = socket.create_connection(address, PATIENCE_S)
        self.addCleanup(caller.close)
        target = accept(listening)
        self.addCleanup(target.close)
        carrier.call(self._abort_and_reset(proxy))
        proxy.close()
        carrier.call(end_tasks())

    async def _abort_and_reset(self, proxy: Proxy) -> None:
        while len(proxy._writers) < 2:
            await asyncio.sleep(0)
        await abort_one(proxy)
        self.assertEqual(len(proxy._writers), 2)
        await proxy._reset()

    def test_a_step_that_fails_to_close_does_not_keep_the_others_from_closing(self) -> None:
        closed = []

        def fail() -> None:
            raise OSError("it has ended by itself")

        with self.assertRaises(OSError):
            close_all([lambda: closed.append(1), fail, lambda: closed.append(2)])
        self.assertEqual(sorted(closed), [1, 2])


if __name__ == "__main__":
    unittest.main()
