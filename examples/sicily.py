#!/usr/bin/env python3
"""Configuration of the Sicilian outage reporting mesh; prints the YAML document to submit."""
import pathlib
import sys
from datetime import timedelta

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "operators"))

from monsoonlift import Call, Caller, Configuration, Service, to_yaml  # noqa: E402

SECOND = timedelta(seconds=1)

MAPPA = Service("mappa", endpoints=4, slots=45, connections=360, calls=(
    Call("outage-report", "POST", "/outages", "report", idempotent=False, patience=5 * SECOND),
    Call("outage-status", "GET", "/outages", "lookup", idempotent=True, patience=2 * SECOND),
    Call("map-refresh", "GET", "/map", "bulk", idempotent=True, patience=2 * SECOND),
))

SQUADRE = Service("squadre", endpoints=3, slots=60, connections=450, calls=(
    Call("dispatch", "POST", "/dispatches", "urgent", idempotent=False, patience=5 * SECOND),
    Call("dispatch-confirmation", "GET", "/dispatches", "urgent", idempotent=True, patience=3 * SECOND),
    Call("crew-positions", "GET", "/crews", "lookup", idempotent=True, patience=2 * SECOND),
))

ARCHIVIO = Service("archivio", endpoints=3, slots=60, connections=450, drain_time=60 * SECOND, calls=(
    Call("photo-upload", "PUT", "/photos", "evidence", idempotent=True, patience=60 * SECOND),
    Call("photo", "GET", "/photos", "evidence", idempotent=True, patience=60 * SECOND),
    Call("archive-listing", "GET", "/archive", "bulk", idempotent=True, patience=10 * SECOND),
))

PRIORITA = Service("priorita", endpoints=3, slots=15, connections=180, calls=(
    Call("priority-flag", "POST", "/flags", "urgent", idempotent=False, patience=5 * SECOND),
    Call("hospital-request", "POST", "/hospital-requests", "urgent", idempotent=False, patience=5 * SECOND),
    Call("flag-lookup", "GET", "/flags", "lookup", idempotent=True, patience=2 * SECOND),
))

CONFIGURATION = Configuration(
    data_centres=("palermo", "catania", "agrigento"),
    classes=("urgent", "report", "evidence", "lookup", "bulk"),
    callers=(
        Caller("crew", 8 * SECOND),
        Caller("hospital", 8 * SECOND),
        Caller("mayor", 5 * SECOND),
        Caller("citizen", 3 * SECOND),
    ),
    services=(MAPPA, SQUADRE, ARCHIVIO, PRIORITA),
)

if __name__ == "__main__":
    print(to_yaml(CONFIGURATION), end="")
