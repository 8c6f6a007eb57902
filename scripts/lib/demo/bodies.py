"""Large bodies that are sent and received in chunks, never held in memory completely."""
from __future__ import annotations

import hashlib
import http.client
import random
from collections.abc import Iterator
from dataclasses import dataclass

CHUNK_BYTES = 256 * 1024
PATIENCE_S = 120.0


@dataclass(frozen=True)
class Received:
    """Status, length and digest of a response whose body was read completely."""

    status: int
    length: int
    sha256: str


def chunks(length: int, seed: int) -> Iterator[bytes]:
    """Yields the chunks of a body of `length` bytes; each chunk differs from the previous one."""
    block = random.Random(seed).randbytes(CHUNK_BYTES)
    for start in range(0, length, CHUNK_BYTES):
        piece = start.to_bytes(8, "big") + block[8:]
        yield piece[:min(CHUNK_BYTES, length - start)]


def sha256_of(length: int, seed: int) -> str:
    """Returns the digest of the body that `chunks` yields."""
    digest = hashlib.sha256()
    for piece in chunks(length, seed):
        digest.update(piece)
    return digest.hexdigest()


def download(address: str, path: str, service: str) -> Received:
    """Sends a GET and reads the response body in chunks."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)
    try:
        connection.request("GET", path, headers={"Monsoonlift-Service": service})
        response = connection.getresponse()
        digest = hashlib.sha256()
        length = 0
        while piece := response.read(CHUNK_BYTES):
            digest.update(piece)
            length += len(piece)
        return Received(response.status, length, digest.hexdigest())
    finally:
        connection.close()
