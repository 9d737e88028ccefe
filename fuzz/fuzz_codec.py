"""Coverage-guided fuzzing of the codec, with h11 as the oracle: `make fuzz`.

The first byte of an input says whether the rest is a request or an answer and where it is cut.  What is found
becomes a named case in `tests/test_http_codec.py`, or a reason in `tests/oracle.py`.
"""

import sys
from pathlib import Path

import atheris

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

with atheris.instrument_imports(include=["sidecar.http"]):
    from oracle import disagreement, read_by_codec


def one(data: bytes) -> None:
    """Play one input; an exception is a finding."""
    if len(data) < 3:
        return
    is_request, raw = data[0] % 2 == 0, data[1:]
    wrong = disagreement(raw, is_request=is_request)
    if wrong is not None:
        raise AssertionError(wrong)
    at = 1 + (data[0] >> 1) % (len(raw) - 1)
    expected = read_by_codec([raw], is_request=is_request)
    for parts in ([raw[:at], raw[at:]], [raw[index : index + 1] for index in range(len(raw))]):
        if read_by_codec(parts, is_request=is_request) != expected:
            raise AssertionError(f"cut as {parts!r:.300} it is something else")


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
