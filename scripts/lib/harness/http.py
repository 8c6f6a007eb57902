"""A minimal HTTP client."""
from __future__ import annotations

import http.client
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

PATIENCE_S = 10.0


@dataclass(frozen=True)
class Answer:
    """A complete response. Header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def verdict(self) -> str:
        return self.headers.get("monsoonlift-verdict", "")


def call(address: str, method: str, path: str, *, headers: Mapping[str, str] | None = None,
         body: bytes | Iterable[bytes] | None = None, patience_s: float = PATIENCE_S) -> Answer:
    """Sends one request over a new connection; raises OSError or HTTPException if no complete response arrives."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=patience_s)
    try:
        connection.request(method, path, body=body, headers=dict(headers or {}))
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, response.read())
    finally:
        connection.close()


def get_json(address: str, path: str) -> Any:
    """Sends a GET and returns the JSON of the response; raises OSError unless the status is 200."""
    answer = call(address, "GET", path)
    if answer.status != 200:
        raise OSError(f"GET {path} at {address}: status {answer.status}")
    return answer.json()


def post_json(address: str, path: str, value: Any, headers: Mapping[str, str] | None = None) -> Answer:
    """Sends a POST with a JSON value as its body."""
    return call(address, "POST", path, body=json.dumps(value).encode(),
                headers={"Content-Type": "application/json", **(headers or {})})
