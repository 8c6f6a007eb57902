"""Progress lines on standard error."""
import json
import sys


def print_round(round_number: int, seed: int, what: str, figures: dict[str, float]) -> None:
    """Prints the figures of one round of a measurement."""
    print(f"round {round_number} seed {seed} {what}: {json.dumps(figures)}", file=sys.stderr, flush=True)


def print_progress(text: str) -> None:
    """Prints one line of progress at once."""
    print(text, file=sys.stderr, flush=True)
