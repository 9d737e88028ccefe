"""The simulator adapter: accepted messages, errors for invalid input, and settings."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from balancer.settings_wire import settings_from_wire
from balancer.simulator_adapter import run

SETTINGS: dict[str, Any] = {
    "bounds": {"sendCap": 3, "secondCopies": True, "mayCancel": True, "streamsPerConn": 1},
    "discovery": "on_request",
    "guarantees": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_000_000},
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like", "group": "all"}
    ],
    "report": {"source": "piggyback", "columns": ["util"]},
    "something_new": [1, 2],
}
PAGE = [
    "PAGE",
    0,
    [["10.0.0.1:80", "east", "box", 0, "ready", 1, None], ["10.0.0.2:80", "east", "box", 0, "ready", 1]],
]


def begin(instance: str = "sidecar-1", wire_settings: Any = None) -> list[list[Any]]:
    return [
        ["BEGIN", instance, 7, SETTINGS if wire_settings is None else wire_settings],
        PAGE,
        ["TARGETS", instance, "cached", 0, 1],
    ]


def run_batches(*batches: list[list[Any]]) -> tuple[int, list[list[Any]], str]:
    lines = []
    for index, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * index], *batch, ["COMMIT"]]
    return play_text("".join(json.dumps(message) + "\n" for message in lines))


def play_text(text: str) -> tuple[int, list[list[Any]], str]:
    out, err = io.StringIO(), io.StringIO()
    code = run(io.StringIO(text), out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


def test_empty_batch_is_answered_by_done() -> None:
    assert run_batches([]) == (0, [["DONE"]], "")


def test_request_is_assigned_to_a_listed_server() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", 0, None, 900_000, 12_000, 1, "a field to come"]
    code, reply, _ = run_batches(begin(), [work])
    assignments = [message for message in reply if message[0] == "ASSIGN"]
    assert code == 0
    assert (
        len(assignments) == 1
        and assignments[0][1:3] == ["sidecar-1", 5]
        and assignments[0][3] in ("10.0.0.1:80", "10.0.0.2:80")
    )


def test_instance_that_ended_loses_its_state_and_can_begin_again_in_the_same_batch() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", None, None, 900_000, None, 0]
    end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", "delivered", 100, True, {"util": 0.5}]
    code, reply, _ = run_batches(begin(), [work, ["EXIT", "sidecar-1"], *begin()], [end])
    assert code == 0
    assert [message[0] for message in reply].count("FOLLOW") == 2


def test_page_number_can_be_reused_within_a_batch() -> None:
    other = ["PAGE", 0, [["10.0.0.9:80", "east", "box", 0, "ready", 1, None]]]
    work = [["WORK_ITEM", f"sidecar-{n}", n, "look", None, None, 900_000, None, 0] for n in (1, 2)]
    batch = [
        *begin(),
        ["BEGIN", "sidecar-2", 8, SETTINGS],
        other,
        ["TARGETS", "sidecar-2", "cached", 0, 1],
        *work,
    ]
    _, reply, _ = run_batches(batch)
    targets = {message[1]: message[3] for message in reply if message[0] == "ASSIGN"}
    assert targets["sidecar-2"] == "10.0.0.9:80" and targets["sidecar-1"] != "10.0.0.9:80"


@pytest.mark.parametrize(
    ("line", "error_text"),
    [
        ("nonsense", "not JSON"),
        ("[" * 100_000, "not JSON"),
        ("{}", "array"),
        ("[]", "array"),
        ('["NEWS","sidecar-1"]', "unknown message"),
        ('["FRAME"]', "inside a batch"),
        ('["WORK_ITEM","sidecar-1",5]', "needs 8 values"),
        ('["WAKE","sidecar-9","x"]', "has not begun"),
        ('["CLIENT_GONE","sidecar-1","five"]', "integer"),
        ('["TARGETS","sidecar-1","rumour",0,1]', "unknown value 'rumour'"),
        ('["TARGETS","sidecar-1","full",9,1]', "list 9, which no PAGE has defined"),
        ('["ATTEMPT_END","sidecar-1",5,0,"a:1","lost",1,true,null]', "unknown value 'lost'"),
        ('["PAGE",0,[["a:1"]]]', "at least 6"),
        ('["MEMO","sidecar-1",0,"xyz"]', "hex"),
        ('["BEGIN","sidecar-2",1,{"lanes":[]}]', "settings: lanes:"),
        ('["BEGIN","sidecar-2",1,{"lanes":[{"name":"a","giveUpUs":-1}]}]', "settings: lanes[0].giveUpUs:"),
    ],
)
def test_invalid_input_is_reported_with_its_line_number_and_ends_the_run(line: str, error_text: str) -> None:
    good = "".join(json.dumps(message) + "\n" for message in (["FRAME", 1], *begin()))
    code, _, err = play_text(good + line + "\n")
    assert code != 0
    assert err.startswith("line 5: ") and error_text in err and err.count("\n") == 1


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.text(max_size=30),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
                ),
            ).map(json.dumps),
            st.tuples(
                st.sampled_from(
                    ["WORK_ITEM", "ATTEMPT_END", "TARGETS", "PAGE", "BEGIN", "WAKE", "FIRST", "SAMPLED"]
                ),
                st.lists(
                    st.sampled_from(
                        ["sidecar-1", "look", "full", "delivered", 0, 1, -5, 2**70, None, True, 1.5, {}, []]
                    ),
                    max_size=9,
                ),
            ).map(lambda parts: json.dumps([parts[0], *parts[1]])),
        ),
        max_size=5,
    )
)
def test_no_line_makes_a_traceback(lines: list[str]) -> None:
    start = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *begin()))
    body = "".join(each.replace("\n", " ").replace("\r", " ") + "\n" for each in lines)
    code, _, err = play_text(start + body + '["COMMIT"]\n')
    assert (code == 0) == (err == "")


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    script = [["FRAME", 1_000_000], *begin(), ["COMMIT"]]
    for number in range(60):
        work = ["WORK_ITEM", "sidecar-1", number, "look", None, None, 900_000, None, 0]
        script += [["FRAME", 1_000_000 + 5_000 * number], work, ["COMMIT"]]
    text = "".join(json.dumps(message) + "\n" for message in script)
    replies = [
        subprocess.run(
            [sys.executable, "-m", "balancer.simulator_adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert replies[0] == replies[1] and replies[0].count("ASSIGN") == 60


def _settings_with_guarantees(guarantees: dict[str, Any]) -> Any:
    return {**SETTINGS, "guarantees": {**SETTINGS["guarantees"], **guarantees}, "lanes": [
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"}
    ]}  # fmt: skip


@pytest.mark.parametrize(
    ("late_shedding", "expected"), [(True, "SURRENDER"), (False, "ASSIGN"), (None, "ASSIGN")]
)
def test_late_shedding_decides_between_retry_and_failure(late_shedding: bool | None, expected: str) -> None:
    wire_settings = _settings_with_guarantees(
        {} if late_shedding is None else {"lateShedding": late_shedding}
    )
    work = ["WORK_ITEM", "sidecar-1", 5, "pay", None, None, 900_000, None, 0]
    _, reply, _ = run_batches(begin(wire_settings=wire_settings), [work])
    server = next(message[3] for message in reply if message[0] == "ASSIGN")
    shed = ["ATTEMPT_END", "sidecar-1", 5, 0, server, "shed", 900, False, None]
    _, retry_reply, _ = run_batches(begin(wire_settings=wire_settings), [work], [shed])
    assert expected in [message[0] for message in retry_reply[len(reply) :]]


def test_let_go_setting_closes_idle_connections_of_a_draining_server() -> None:
    drain_page = ["PAGE", 1, [["10.0.0.1:80", "east", "box", 0, "draining", 1]]]
    drain_batch = [drain_page, ["TARGETS", "sidecar-1", "delta", 1, 2]]
    _, reply, _ = run_batches(
        begin(wire_settings=_settings_with_guarantees({"letGoInUs": 500_000})), drain_batch
    )
    assert ["SHUT_IDLE", "sidecar-1", "10.0.0.1:80"] in reply
    _, reply, _ = run_batches(begin(wire_settings=_settings_with_guarantees({})), drain_batch)
    assert "SHUT_IDLE" not in [message[0] for message in reply]


def test_settings_are_read_from_the_wire() -> None:
    settings = settings_from_wire(
        {
            **SETTINGS,
            "bounds": {"maxOpen": 9, "cpuUsPerS": 8, "cpuUsPerRequest": 0.5},
            "guarantees": {"letGoInUs": 7, "lateShedding": True, "drainGraceUs": 50_000, "fallMultiple": 1.5},
            "prices": {"lateFail": 0.05, "discovery": 0.01, "connection": 0.02, "handshake": 0.03},
            "goal": {"whole": 0.5, "tail": 0.2, "tailSlack": 0.02, "worstTenant": 0.1, "worstWindow": 0.2},
            "kinds": ["a", "b"],
            "clientHabits": {"marksRetry": True},
            "domain": {"warmKeys": True},
        }
    )
    assert (
        settings.limits.max_open_requests,
        settings.limits.cpu_us_per_s,
        settings.limits.cpu_us_per_request,
    ) == (
        9,
        8,
        0.5,
    )
    assert settings.guarantees.close_idle_within_us == 7 and settings.guarantees.full_may_have_executed
    assert settings.guarantees.drain_grace_us == 50_000 and settings.guarantees.overload_multiple == 1.5
    assert settings.costs.late_failure == 0.05 and settings.costs.discovery == 0.01
    assert settings.costs.connection == 0.02 and settings.costs.handshake == 0.03
    assert (
        settings.objective.tail == 0.2
        and settings.objective.tail_slack == 0.02
        and settings.objective.worst_tenant == 0.1
    )
    assert settings.machine_types == ("a", "b") and settings.clients_mark_retries and settings.warm_keys
