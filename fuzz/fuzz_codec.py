"""Coverage-guided fuzzing of the codec, with h11 as the oracle: `make fuzz`.

The first byte of an input selects whether the rest is a request or a response and where it is split.  A
finding becomes a named case in `tests/test_http_codec.py`, or a reason in `tests/oracle.py`.
"""

import sys
from pathlib import Path

import atheris

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

with atheris.instrument_imports(include=["sidecar.http"]):
    from oracle import disagreement, read_by_codec


def check_input(data: bytes) -> None:
    """Check one input; an exception is a finding."""
    if len(data) < 3:
        return
    is_request, raw = data[0] % 2 == 0, data[1:]
    difference = disagreement(raw, is_request=is_request)
    if difference is not None:
        raise AssertionError(difference)
    split_at = 1 + (data[0] >> 1) % (len(raw) - 1)
    expected = read_by_codec([raw], is_request=is_request)
    for parts in ([raw[:split_at], raw[split_at:]], [raw[index : index + 1] for index in range(len(raw))]):
        if read_by_codec(parts, is_request=is_request) != expected:
            raise AssertionError(f"split as {parts!r:.300} it is read differently than in one piece")


if __name__ == "__main__":
    atheris.Setup(sys.argv, check_input)
    atheris.Fuzz()
