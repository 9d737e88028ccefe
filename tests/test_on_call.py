"""Every log event of the sidecar and every line of the balancer is documented on the on-call page."""

from __future__ import annotations

import dataclasses
import re
from pathlib import Path

from balancer.outlier_detection import FAILURES, EjectionReason
from sidecar.log_events import LogEvent

ROOT = Path(__file__).parent.parent
BALANCER_SOURCE = "".join(
    file.read_text(encoding="utf-8") for file in sorted((ROOT / "balancer").glob("*.py"))
)


def test_every_log_line_of_the_balancer_is_documented_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    names = re.findall(r'Log\(f?"(\w+) ', BALANCER_SOURCE)
    assert sorted(set(names)) == ["ejected", "excluded", "included", "readmitted"]
    assert len(re.findall(r"Log\([^)]", BALANCER_SOURCE)) == len(names)
    for name in names:
        assert f"`{name} SERVER" in page
    assert {reason.value for reason in EjectionReason} == {"silent", *(outcome.value for outcome in FAILURES)}
    for reason in EjectionReason:
        assert f"`ejected S: {reason.value}`" in page


def documented_lines() -> list[str]:
    """Return the log lines in the first column of the tables on the on-call page."""
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    return re.findall(r"^\| `([^`]*)` \|", page, flags=re.MULTILINE)


def documented_form(event: type[LogEvent]) -> str:
    """Return the form in which the page shows an event's line: with its fields in capitals."""
    text = re.sub(r"\{(\w+)[^}]*\}", lambda field: field[1].upper(), event.template)
    return f"{event.name}: {text}"


def events_with_a_name() -> list[type[LogEvent]]:
    return [event for event in LogEvent.__subclasses__() if hasattr(event, "template")]


def test_every_log_event_is_documented_on_the_on_call_page() -> None:
    documented = documented_lines()
    assert len(events_with_a_name()) >= 17
    assert [event for event in events_with_a_name() if documented_form(event) not in documented] == []


def test_event_names_are_stable_words_and_no_other_name_is_documented() -> None:
    names = {event.name for event in events_with_a_name()}
    assert all(re.fullmatch(r"[a-z]+(_[a-z]+)*", name) for name in names)
    documented = {line.partition(":")[0] for line in documented_lines() if re.match(r"[a-z_]+: ", line)}
    assert documented == names


def test_every_event_is_written_on_one_line_after_its_name() -> None:
    for event in events_with_a_name():
        fields = dataclasses.fields(event)  # type: ignore[arg-type]
        is_number = {field.name: field.type in ("int", "float") for field in fields}
        line = str(event(*(7 if is_number[field.name] else f"a\n{field.name}" for field in fields)))
        assert line.startswith(f"{event.name}: ") and "\n" not in line
        assert all(
            "7" in line if is_number[name] else f"a {name}" in line.replace("\\n", " ") for name in is_number
        )


def test_only_log_events_are_logged_or_printed() -> None:
    modules = [path for path in (ROOT / "sidecar").rglob("*.py") if path.name != "log_events.py"]
    source = "".join(path.read_text(encoding="utf-8") for path in modules)
    assert re.findall(r"\b_?(?:log|print)\(\s*f?[\"']", source) == []
    logged = set(re.findall(r"\b_?(?:log|print|return)\b[ (]+(?:log_events\.)?([A-Z]\w+)\(", source))
    assert {event.__name__ for event in events_with_a_name()} <= logged
