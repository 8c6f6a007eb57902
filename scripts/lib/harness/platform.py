"""The platform stand-in, and a configuration document to submit to it."""
from __future__ import annotations

import pathlib

from harness.process import Process
from harness.stand_in import StandIn

ONE_SERVICE = """format: 1
data_centres: [{data_centres}]
classes: [dispatch, refresh]
services:
  - name: squadre
    endpoints: 3
    slots: {slots}
    connections: 450
    calls:
      - {{name: dispatch, method: POST, path: /dispatches, class: dispatch, idempotent: false}}
"""


def one_service(slots: int, *data_centres: str) -> str:
    """Returns a configuration document with a single service whose backend servers have `slots` slots each."""
    return ONE_SERVICE.format(slots=slots, data_centres=", ".join(data_centres))


class Platform(StandIn):
    """A running platform-standin. Setting faults turns off those that are not named."""

    def __init__(self, binaries: pathlib.Path, log: pathlib.Path, *options: str) -> None:
        self.process = Process("platform", [str(binaries / "platform-standin"), *options], log)
