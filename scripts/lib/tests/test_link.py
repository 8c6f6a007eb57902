"""Tests that links delay connections between data centres but not within one."""
import unittest
from collections.abc import Sequence

from harness.fleet import Fleet
from harness.link import LinkOptions, Links

OPTIONS = LinkOptions(delay_ms=4, jitter_ms=1, stall_share=0.01, stall_ms=200, seed=3)


class StartedProcess:
    """A fake process that is ready and reports a fixed address."""

    def __init__(self, name: str) -> None:
        self._name = name

    def addresses(self) -> dict[str, str]:
        return {"address": f"address-of-{self._name}"}

    def kill(self) -> None:
        pass


class RecordingFleet(Fleet):
    """Records the commands instead of running them."""

    def start(self, name: str, command: Sequence[str]) -> StartedProcess:  # type: ignore[override]
        self.__dict__.setdefault("commands", {})[name] = list(command)
        return StartedProcess(name)


def settings_of(fleet: Fleet, name: str) -> list[str]:
    return (fleet.folder / f"{name}.yaml").read_text().splitlines()


class LinksTest(unittest.TestCase):
    def test_each_data_centre_and_harness_has_its_own_ip(self) -> None:
        links, other = Links(OPTIONS, owner=513), Links(OPTIONS, owner=514)
        self.assertEqual([links.ip_of(name) for name in ("palermo", "catania", "palermo")],
                         ["127.1.2.1", "127.2.2.1", "127.1.2.1"])
        self.assertEqual(other.ip_of("palermo"), "127.1.2.2")

    def test_each_daemon_has_its_own_port(self) -> None:
        links = Links(OPTIONS, owner=513)
        self.assertEqual([links.new_address(name) for name in ("palermo", "catania", "palermo")],
                         ["127.1.2.1:7000", "127.2.2.1:7001", "127.1.2.1:7002"])

    def test_relay_delays_all_but_its_own_data_centre(self) -> None:
        links = Links(OPTIONS, owner=513)
        target = links.new_address("palermo")
        self.assertEqual(links.relay_command("palermo", target), [
            "delay-relay", "--target=127.1.2.1:7000", "--prompt-from=127.1.2.1", "--delay-ms=4", "--jitter-ms=1",
            "--stall-share=0.01", "--stall-ms=200", "--seed=3001000"])


class FleetTest(unittest.TestCase):
    def test_daemon_behind_a_relay_advertises_the_relay(self) -> None:
        with RecordingFleet(links=Links(OPTIONS, owner=513)) as fleet:
            fleet.start_daemon("vm-0", "palermo")
            lines = settings_of(fleet, "vm-0")
            self.assertIn("--target=127.1.2.1:7000", fleet.commands["relay-vm-0"])
        self.assertIn('transport_address: "127.1.2.1:7000"', lines)
        self.assertIn('advertised_transport_address: "address-of-relay-vm-0"', lines)
        self.assertIn('transport_source_ip: "127.1.2.1"', lines)

    def test_without_links_there_is_no_relay(self) -> None:
        with RecordingFleet() as fleet:
            fleet.start_daemon("vm-0", "palermo")
            lines = settings_of(fleet, "vm-0")
            self.assertNotIn("relay-vm-0", fleet.commands)
        self.assertIn('transport_address: "127.0.0.1:0"', lines)
        self.assertFalse([line for line in lines if line.startswith(("advertised", "transport_source"))])
