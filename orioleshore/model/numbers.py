"""Numbers in texts of other processes and of people."""

# Enough for times in nanoseconds, and below the largest 64-bit integer.
MAX_DIGITS = 18


def parse_count(text: str) -> int | None:
    """Return a number of at most ``MAX_DIGITS`` ASCII digits, else None.

    ``str.isdigit`` also accepts characters such as "²" that ``int`` refuses.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
