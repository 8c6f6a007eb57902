"""Idempotency keys."""
import random
import time
import uuid


def time_ordered_key(draw: random.Random) -> str:
    """Returns a UUID of version 7, which contains the time at which it was issued."""
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | 0x7 << 76 | draw.getrandbits(12) << 64 | 0b10 << 62 | draw.getrandbits(62)
    return str(uuid.UUID(int=value))
