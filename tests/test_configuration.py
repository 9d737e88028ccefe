"""Configurations: the keys of the file, and unusual settings in a running sidecar."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from loopback import OK, SERVICE_CLASSES, run_async, running_sidecar, wait_until

from sidecar.configuration import Configuration, load, parse

# As files of earlier versions have it; keys may be added, never renamed.
RECORDED: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "sockets": 512, "memory_mb": 96},
    "known": {
        "version": 3,
        "full": True,
        "servers": [{"id": "s-1", "addr": "10.0.0.1:80", "state": "active"}],
    },
    "peer_listen": "127.0.0.1:7000",
    "peers": ["127.0.0.1:7000", "127.0.0.1:7001"],
    "peers_all": "127.0.0.1:7099",
    "membership": {"on": True},
    "version": 12,
    "rollout": {"on": True},
    "console": "127.0.0.1:9000",
    "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "tier": 3, "me": 1, "groupSize": 2},
}


def loaded(folder: Path, content: str, **environment: str) -> Configuration:
    path = folder / "config.json"
    path.write_text(content)
    return load({"BALANCER_CONFIG": str(path), **environment})


def test_recorded_keys_are_mapped_to_their_fields() -> None:
    configuration = parse(RECORDED, {"TMPDIR": "/run/n0", "BALANCER_SOCKET_FD": "5"})
    assert configuration.name == "n0" and configuration.seed == 0x8C1F
    assert configuration.listen_address == ("127.0.0.1", 8080)
    assert configuration.discovery_address == ("127.0.0.1", 8500)
    assert (configuration.max_sockets, configuration.memory_mb) == (512, 96)
    assert configuration.known_endpoints.version == 3
    assert [each.address for each in configuration.known_endpoints.endpoints] == [("10.0.0.1", 80)]
    assert configuration.peer_listen_address == ("127.0.0.1", 7000)
    assert configuration.peer_addresses == (("127.0.0.1", 7000), ("127.0.0.1", 7001))
    assert configuration.broadcast_address == ("127.0.0.1", 7099)
    assert configuration.cluster == "3" and configuration.settings.instance_index == 1
    assert configuration.membership.on and configuration.rollout.on and configuration.version == 12
    assert configuration.admin_address == ("127.0.0.1", 9000)
    assert configuration.listen_descriptor == 5 and configuration.state_directory == Path("/run/n0")


def test_environment_completes_the_file_and_only_the_admin_address_overrides_it(tmp_path: Path) -> None:
    content = json.dumps({**RECORDED, "name": "from the file"})
    environment = {"BALANCER_NAME": "n9", "BALANCER_CONSOLE": "127.0.0.1:9009"}
    configuration = loaded(tmp_path, content, **environment)
    assert configuration.name == "from the file" and configuration.admin_address == ("127.0.0.1", 9009)
    left_out = {key: RECORDED[key] for key in RECORDED.keys() - {"name", "listen", "discovery"}}
    environment = {
        "BALANCER_NAME": "n9",
        "BALANCER_LISTEN": "127.0.0.1:1",
        "BALANCER_DISCOVERY": "127.0.0.1:2",
    }
    configuration = loaded(tmp_path, json.dumps(left_out), **environment)
    assert configuration.name == "n9"
    assert (configuration.listen_address[1], configuration.discovery_address[1]) == (1, 2)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"name": "n1"}, "name"),
        ({"listen": "127.0.0.1:8081"}, "listen"),
        ({"settings": {**RECORDED["settings"], "zone": "b"}}, "settings"),
        ({"limits": {**RECORDED["limits"], "sockets": 513}}, "sockets"),
        ({"limits": {**RECORDED["limits"], "memory_mb": 97}}, "memory_mb"),
        ({"peer_listen": "127.0.0.1:7001"}, "peer_listen"),
        ({"console": "127.0.0.1:9001"}, "console"),
    ],
    ids=lambda value: str(value)[:30],
)
def test_fixed_keys_that_differ_are_named_as_in_the_file(changes: dict[str, Any], key: str) -> None:
    before, after = parse(RECORDED), parse({**RECORDED, **changes})
    assert before.keys_requiring_restart(after) == [key]


# In a running sidecar

ODD = {"zone": "a", "quantumUs": 5_000, "discovery": "on_request"}


def lane(name: str, repeat: str, **further: object) -> dict[str, object]:
    return {"name": name, "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": repeat, **further}


def test_classes_whose_names_share_a_prefix_are_distinguished() -> None:
    async def work() -> None:
        names = ("gate", "gate-view", "gate-keeper", "gat", "GATE")
        repeats = ("non_idempotent", "read_like", "idempotency_key", "read_like", "read_like")
        lanes = [lane(name, repeat) for name, repeat in zip(names, repeats, strict=True)]

        async with running_sidecar(OK, OK, OK, lanes=lanes) as harness:
            for name, repeat in zip(names, repeats, strict=True):
                kind = {"read_like": "check", "idempotency_key": "amend", "non_idempotent": "lodge"}[repeat]
                assert (await harness.request(kind, Request_Class=name)).status == 200
                for wrong in {"check", "amend", "lodge"} - {kind}:
                    assert (await harness.request(wrong, Request_Class=name)).status == 400
            for unknown in ("ga", "gate-", "gate-views", "Gate", "gate view"):
                assert (await harness.request("check", Request_Class=unknown)).status == 400
            assert len(harness.requests) == len(names)

    run_async(work)


@pytest.mark.parametrize("realms", [[], [{"name": "acme", "portion": 1.0, "quotaRps": 0.0}]])
def test_missing_and_unknown_tenants_are_served_alike(realms: list[dict[str, object]]) -> None:
    async def work() -> None:
        async with running_sidecar(OK, realms=realms, lanes=[lane("check", "read_like")]) as harness:
            for tenant in ("acme", "acme-2", "", "nobody"):
                assert (await harness.request("check", Tenant=tenant)).status == 200

    run_async(work)


@pytest.mark.parametrize(
    "bounds",
    [
        {"sendCap": 1, "secondCopies": False, "mayCancel": False},
        {"sendCap": 0},
        {"dialTimeoutUs": 0},
        {"idleCloseUs": 0},
        {"maxOpen": 0},
        {"sendCap": 2**40, "dialTimeoutUs": 2**52, "idleCloseUs": 2**52, "maxRetryAfterUs": 2**52},
    ],
    ids=str,
)
def test_extreme_limits_leave_each_request_one_response(bounds: dict[str, object]) -> None:
    async def work() -> None:
        internal: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, what: internal.append(what))
        async with running_sidecar(OK, OK, bounds=bounds) as harness:
            for kind in ("check", "amend", "lodge") * 3:
                answer = await harness.request(kind, timeout="1.0")
                assert answer.status in (200, 502, 503, 504)
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert not [each for each in harness.log if "internal" in each]
        assert not [each for each in internal if "sidecar" in repr(each)]

    run_async(work)
