"""The program at its file descriptor limit: idle clients leave descriptors for all other parts."""

from __future__ import annotations

import asyncio
import json
import os
from contextlib import suppress
from pathlib import Path

from tests.support.peers import (
    WIRE_SETTINGS,
    Address,
    Reader,
    RespClient,
    ScriptedServer,
    Writer,
    encode_resp_array,
    make_command,
    make_endpoint_entry,
    make_scripted_backend,
    run_async_test,
)
from tests.support.process import find_free_port, listening_process

MAX_DESCRIPTORS = 96  # file descriptor limit of the program
IDLE_CLIENT_COUNT = 3 * MAX_DESCRIPTORS
RESERVED_DESCRIPTORS = 24  # for the watch, the counter and backends; clients must leave them free
SETTINGS_WITH_COUNTER = WIRE_SETTINGS | {
    "contracts": [{"name": "basic", "refill": 1.0, "burst": 1.2}],
    "family-info": {"counter": True, "count-wait-s": 1.0, "most-units": 8},
}


def echoing_counter() -> ScriptedServer:
    """Return a counter that answers each call with the amount that the call adds."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while line := await reader.readline():
            peer.received_commands.append(line.split())
            writer.write(b"ok %b\r\n" % line.split()[2])

    peer = ScriptedServer(script)
    return peer


def agent_with_list(endpoint_list: bytes, port: int) -> ScriptedServer:
    """Return a discovery agent that sends the endpoint list once, and then responses without changes."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            peer.received_commands.append(head.split(b" ")[:2])
            if len(peer.received_commands) > 1:
                await asyncio.sleep(0.5)
            body = (
                endpoint_list
                if len(peer.received_commands) == 1
                else b'{"version":2,"full":false,"servers":[]}'
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    peer = ScriptedServer(script, port)
    return peer


async def request_until_served(address: Address, counter_peer: ScriptedServer) -> None:
    """Send requests until a backend has answered one and the counter has been called.

    A backend can answer only once the ingress has fetched the endpoint list.
    """
    customer = 0
    replies = set[bytes | str]()
    while b"00000000000000aa" not in replies or not counter_peer.received_commands:
        customer += 1
        with suppress(EOFError, ConnectionError):
            caller = await RespClient.connect(address)
            replies.add(await caller.send_and_read_reply(make_command(customer=customer)))
        await asyncio.sleep(0.05)


async def ping_on_new_connection(address: Address) -> None:
    """Open a connection and wait for the reply to a PING."""
    assert (
        await (await RespClient.connect(address)).send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
    )


def count_descriptors(process: asyncio.subprocess.Process) -> int:
    """Return the number of file descriptors that the program holds."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def test_idle_clients_leave_descriptors_for_discovery_counter_and_backends(tmp_path: Path) -> None:
    async def body() -> None:
        agent_address = ("127.0.0.1", find_free_port())
        async with (
            make_scripted_backend() as backend_peer,
            echoing_counter() as counter_peer,
            listening_process(
                tmp_path,
                max_descriptors=MAX_DESCRIPTORS,
                discovery=f"127.0.0.1:{agent_address[1]}",
                settings=SETTINGS_WITH_COUNTER,
                counter="{}:{}".format(*counter_peer.address),
                limits={"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS},
            ) as (process, address),
        ):
            endpoint_list = json.dumps(
                {"version": 2, "full": True, "servers": [make_endpoint_entry(backend_peer.address)]}
            ).encode()
            idle_clients = [await RespClient.connect(address) for _ in range(IDLE_CLIENT_COUNT)]
            # The ping is answered after the idle connections, which are in front of it in the backlog.
            ping_task = asyncio.create_task(ping_on_new_connection(address))
            while not ping_task.done():
                assert count_descriptors(process) <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
                await asyncio.sleep(0.01)
            async with agent_with_list(endpoint_list, agent_address[1]):
                await request_until_served(address, counter_peer)
            assert counter_peer.received_commands
            assert backend_peer.received_commands
            assert process.returncode is None
            for client in idle_clients:
                client.writer.close()

    run_async_test(body())
