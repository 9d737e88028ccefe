"""The keys of the configuration file, and unusual settings in a running sidecar."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from loopback import OK, SERVICE_CLASSES, run_async, running_sidecar, wait_until

from sidecar.configuration import Configuration, load, parse

# A file as earlier versions wrote it: keys may be added, but not renamed.
RECORDED_DOCUMENT: dict[str, Any] = {
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


def load_content(directory: Path, content: str, **environment: str) -> Configuration:
    path = directory / "config.json"
    path.write_text(content)
    return load({"BALANCER_CONFIG": str(path), **environment})


def test_recorded_keys_are_mapped_to_their_fields() -> None:
    configuration = parse(RECORDED_DOCUMENT, {"TMPDIR": "/run/n0", "BALANCER_SOCKET_FD": "5"})
    assert configuration.name == "n0" and configuration.seed == 0x8C1F
    assert configuration.listen_address == ("127.0.0.1", 8080)
    assert configuration.discovery_address == ("127.0.0.1", 8500)
    assert (configuration.max_sockets, configuration.memory_mb) == (512, 96)
    assert configuration.known_endpoints.version == 3
    assert [endpoint.address for endpoint in configuration.known_endpoints.endpoints] == [("10.0.0.1", 80)]
    assert configuration.peer_listen_address == ("127.0.0.1", 7000)
    assert configuration.peer_addresses == (("127.0.0.1", 7000), ("127.0.0.1", 7001))
    assert configuration.broadcast_address == ("127.0.0.1", 7099)
    assert configuration.cluster == "3" and configuration.settings.instance_index == 1
    assert configuration.membership.on and configuration.rollout.on and configuration.version == 12
    assert configuration.admin_address == ("127.0.0.1", 9000)
    assert configuration.listen_descriptor == 5 and configuration.state_directory == Path("/run/n0")


def test_environment_completes_the_file_and_only_the_admin_address_overrides_it(tmp_path: Path) -> None:
    content = json.dumps({**RECORDED_DOCUMENT, "name": "from the file"})
    environment = {"BALANCER_NAME": "n9", "BALANCER_CONSOLE": "127.0.0.1:9009"}
    configuration = load_content(tmp_path, content, **environment)
    assert configuration.name == "from the file" and configuration.admin_address == ("127.0.0.1", 9009)
    incomplete_document = {
        key: RECORDED_DOCUMENT[key] for key in RECORDED_DOCUMENT.keys() - {"name", "listen", "discovery"}
    }
    environment = {
        "BALANCER_NAME": "n9",
        "BALANCER_LISTEN": "127.0.0.1:1",
        "BALANCER_DISCOVERY": "127.0.0.1:2",
    }
    configuration = load_content(tmp_path, json.dumps(incomplete_document), **environment)
    assert configuration.name == "n9"
    assert (configuration.listen_address[1], configuration.discovery_address[1]) == (1, 2)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"name": "n1"}, "name"),
        ({"listen": "127.0.0.1:8081"}, "listen"),
        ({"settings": {**RECORDED_DOCUMENT["settings"], "zone": "b"}}, "settings"),
        ({"limits": {**RECORDED_DOCUMENT["limits"], "sockets": 513}}, "sockets"),
        ({"limits": {**RECORDED_DOCUMENT["limits"], "memory_mb": 97}}, "memory_mb"),
        ({"peer_listen": "127.0.0.1:7001"}, "peer_listen"),
        ({"console": "127.0.0.1:9001"}, "console"),
    ],
    ids=lambda value: str(value)[:30],
)
def test_changed_keys_that_require_a_restart_are_named_as_in_the_file(
    changes: dict[str, Any], key: str
) -> None:
    before, after = parse(RECORDED_DOCUMENT), parse({**RECORDED_DOCUMENT, **changes})
    assert before.keys_requiring_restart(after) == [key]


# In a running sidecar


def class_settings(name: str, repeat: str, **further: object) -> dict[str, object]:
    return {"name": name, "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": repeat, **further}


def test_classes_whose_names_share_a_prefix_are_distinguished() -> None:
    async def main() -> None:
        names = ("gate", "gate-view", "gate-keeper", "gat", "GATE")
        repeats = ("non_idempotent", "read_like", "idempotency_key", "read_like", "read_like")
        lanes = [class_settings(name, repeat) for name, repeat in zip(names, repeats, strict=True)]

        async with running_sidecar(OK, OK, OK, lanes=lanes) as harness:
            for name, repeat in zip(names, repeats, strict=True):
                service_class = {"read_like": "check", "idempotency_key": "amend", "non_idempotent": "lodge"}[
                    repeat
                ]
                assert (await harness.request(service_class, Request_Class=name)).status == 200
                for other_class in {"check", "amend", "lodge"} - {service_class}:
                    assert (await harness.request(other_class, Request_Class=name)).status == 400
            for unknown_name in ("ga", "gate-", "gate-views", "Gate", "gate view"):
                assert (await harness.request("check", Request_Class=unknown_name)).status == 400
            assert len(harness.requests) == len(names)

    run_async(main)


@pytest.mark.parametrize("realms", [[], [{"name": "acme", "portion": 1.0, "quotaRps": 0.0}]])
def test_requests_with_missing_or_unknown_tenant_are_served(realms: list[dict[str, object]]) -> None:
    async def main() -> None:
        async with running_sidecar(
            OK, realms=realms, lanes=[class_settings("check", "read_like")]
        ) as harness:
            for tenant in ("acme", "acme-2", "", "nobody"):
                assert (await harness.request("check", Tenant=tenant)).status == 200

    run_async(main)


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
def test_each_request_gets_a_response_with_extreme_limits(bounds: dict[str, object]) -> None:
    async def main() -> None:
        errors: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with running_sidecar(OK, OK, bounds=bounds) as harness:
            for service_class in ("check", "amend", "lodge") * 3:
                response = await harness.request(service_class, timeout="1.0")
                assert response.status in (200, 502, 503, 504)
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert not [entry for entry in harness.log if "internal" in entry]
        assert not [entry for entry in errors if "sidecar" in repr(entry)]

    run_async(main)
