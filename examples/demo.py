#!/usr/bin/env python3
"""Configuration of scripts/demo: a few services of the Sicilian and Kazakh deployments in two data centres."""
import pathlib
import sys
from datetime import timedelta

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "operators"))

from monsoonlift import Call, Caller, Configuration, Service, to_yaml  # noqa: E402

SECOND = timedelta(seconds=1)

CONFIGURATION = Configuration(
    data_centres=("palermo", "catania"),
    classes=("urgent", "evidence", "lookup", "bulk"),
    callers=(Caller("crew", 8 * SECOND), Caller("pilot", 5 * SECOND), Caller("citizen", 3 * SECOND)),
    services=(
        Service("fieldboard", endpoints=2, slots=8, connections=200, calls=(
            Call("slot-lookup", "GET", "/slots", "urgent", idempotent=True, patience=2 * SECOND),
            Call("board-refresh", "GET", "/board", "bulk", idempotent=True, patience=2 * SECOND),
        )),
        Service("squadre", endpoints=2, slots=8, connections=200, calls=(
            Call("dispatch", "POST", "/dispatches", "urgent", idempotent=False, patience=5 * SECOND),
            Call("crew-positions", "GET", "/crews", "lookup", idempotent=True, patience=2 * SECOND),
        )),
        Service("archivio", endpoints=1, slots=8, connections=200, drain_time=30 * SECOND, calls=(
            Call("photo-upload", "PUT", "/photos", "evidence", idempotent=True, patience=60 * SECOND),
            Call("photo", "GET", "/photos", "evidence", idempotent=True, patience=60 * SECOND),
        )),
        Service("flightvault", endpoints=1, slots=8, connections=200, drain_time=30 * SECOND, calls=(
            Call("video-upload", "PUT", "/videos", "evidence", idempotent=True, patience=300 * SECOND),
            Call("video", "GET", "/videos", "evidence", idempotent=True, patience=300 * SECOND),
        )),
    ),
)

if __name__ == "__main__":
    print(to_yaml(CONFIGURATION), end="")
