#!/usr/bin/env python3
"""Configuration of the flying clubs of southern Kazakhstan; prints the YAML document to submit."""
import pathlib
import sys
from datetime import timedelta

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "operators"))

from monsoonlift import Call, Caller, Configuration, Service, to_yaml  # noqa: E402

SECOND = timedelta(seconds=1)

FIELDBOARD = Service("fieldboard", endpoints=5, slots=140, connections=930, calls=(
    Call("slot-lookup", "GET", "/slots", "urgent", idempotent=True, patience=2 * SECOND),
    Call("slot-booking", "POST", "/slots", "booking", idempotent=False, patience=5 * SECOND),
    Call("board-refresh", "GET", "/board", "bulk", idempotent=True, patience=2 * SECOND),
))

TREASURY = Service("treasury", endpoints=4, slots=175, connections=1150, calls=(
    Call("fee-charge", "POST", "/fees", "booking", idempotent=False, patience=10 * SECOND),
    Call("fee-lookup", "GET", "/fees", "lookup", idempotent=True, patience=3 * SECOND),
    Call("ledger-export", "GET", "/ledger", "bulk", idempotent=True, patience=30 * SECOND),
))

FLIGHTVAULT = Service("flightvault", endpoints=4, slots=175, connections=1150, drain_time=120 * SECOND, calls=(
    Call("video-upload", "PUT", "/videos", "evidence", idempotent=True, patience=300 * SECOND),
    Call("video", "GET", "/videos", "evidence", idempotent=True, patience=300 * SECOND),
    Call("flight-log", "POST", "/logs", "evidence", idempotent=False, patience=10 * SECOND),
    Call("log-listing", "GET", "/logs", "bulk", idempotent=True, patience=5 * SECOND),
))

AIRWAVES = Service("airwaves", endpoints=4, slots=30, connections=270, calls=(
    Call("frequency-reservation", "POST", "/frequencies", "booking", idempotent=False, patience=5 * SECOND),
    Call("frequency-lookup", "GET", "/frequencies", "lookup", idempotent=True, patience=2 * SECOND),
    Call("weather-notes", "GET", "/weather", "lookup", idempotent=True, patience=2 * SECOND),
    Call("airworthiness-notes", "GET", "/airworthiness", "lookup", idempotent=True, patience=2 * SECOND),
))

CONFIGURATION = Configuration(
    data_centres=("almaty-a", "almaty-b", "shymkent-a", "taraz-a"),
    classes=("urgent", "booking", "evidence", "lookup", "bulk"),
    callers=(
        Caller("pilot", 5 * SECOND),
        Caller("marshal", 5 * SECOND),
        Caller("treasurer", 10 * SECOND),
    ),
    services=(FIELDBOARD, TREASURY, FLIGHTVAULT, AIRWAVES),
)

if __name__ == "__main__":
    print(to_yaml(CONFIGURATION), end="")
