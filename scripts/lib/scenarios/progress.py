"""Progress lines on standard error."""
import json
import sys


def tell(round_number: int, seed: int, what: str, figures: dict[str, float]) -> None:
    """Prints the figures of one round."""
    print(f"round {round_number} seed {seed} {what}: {json.dumps(figures)}", file=sys.stderr, flush=True)


def say(text: str) -> None:
    """Prints one line of progress."""
    print(text, file=sys.stderr, flush=True)
