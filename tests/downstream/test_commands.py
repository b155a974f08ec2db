"""Parsing of client commands; malformed ones are answered with an error and logged."""

from __future__ import annotations

import logging

import hiredis
import pytest

from ingress.downstream.commands import MAX_FIELDS, Command, CommandParser
from tests.support.ingress import running_ingress
from tests.support.peers import RespClient, encode_resp_array, make_command, make_config, run_async_test


def command_with_fields(old: bytes, new: bytes) -> bytes:
    """Return a command with `old` replaced by `new` in its field list, and a correct length prefix."""
    fields = b"c=read,t=basic,d=2000,units=1,spread=1,first=0"
    return encode_resp_array(b"API.READ", b"%016x" % 7, b"id", fields.replace(old, new))


def test_connection_commands_are_answered() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (_, address):
            caller = await RespClient.connect(address)
            caller.writer.write(encode_resp_array(b"PING"))
            assert await caller.reader.readexactly(7) == b"+PONG\r\n"
            assert await caller.send_and_read_reply(encode_resp_array(b"SELECT", b"0")) == b"OK"
            assert await caller.send_and_read_reply(encode_resp_array(b"CLIENT", b"SETNAME", b"x")) == b"OK"
            assert str(await caller.send_and_read_reply(encode_resp_array(b"HELLO", b"3"))).startswith("ERR")

    run_async_test(body())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (encode_resp_array(b"GET", b"x"), "unknown command"),
        (encode_resp_array(b"API.READ"), "arguments"),
        (make_command(class_name="read").replace(b"c=read", b"c=what"), "unknown class"),
        (make_command().replace(b"t=basic", b"t=biscu"), "unknown plan"),
        (make_command(wait_ms=0).replace(b"d=0", b"d=x"), "d"),
        (make_command(extra_fields="".join(f",{n}=" for n in range(MAX_FIELDS))), "too many fields"),
        (make_command(extra_fields="," * 40), "too many fields"),
        (make_command().replace(b"units=1", b"units=x"), "units"),
        (make_command().replace(b"units=1", b"units=0"), "units"),
        (make_command().replace(b"spread=1", b"spread=_"), "spread"),
        (make_command().replace(b"first=0", b"first=-"), "first"),
        (command_with_fields(b"first=0", b"first=1"), "first"),
        (command_with_fields(b"spread=1", b"spread=2"), "spread"),
        (command_with_fields(b"spread=1", b"spread=0"), "spread"),
        *(
            (command_with_fields(b"units=1", b"units=" + units), "bad number: units")
            for units in (b"2", b"nan", b"inf", b"1_0", b"1e0", b"-1", b"+1", b" 1", b"")
        ),
        (make_command(wait_ms=0), "bad number: d"),
        (make_command(wait_ms=4001), "bad number: d"),
        (command_with_fields(b"d=2", b"d=-2"), "bad number: d"),
        (make_command(extra_fields=",d=5"), "twice"),
        (make_command(extra_fields=",r=2"), "bad number: r"),
        (make_command(""), "no id"),
        (make_command("a b"), "no id"),
        (make_command("x" * 129), "no id"),
        (make_command().replace(b"%016x" % 7, b"0x" + b"0" * 13 + b"7"), "customer"),
        (make_command(customer=2**33), "customer"),
        (make_command().replace(b"%016x" % 7, b"z" * 16), "customer"),
        (make_command(command_name="API.WRITE", body=b"x"), "other command"),
        (make_command().replace(b"c=read,", b"c-read,"), "names and values"),
        (b"*0\r\n", "bulk strings"),
        (make_command(class_name="order").replace(b",k=", b",j="), "k is missing"),
    ],
)
def test_malformed_command_gets_an_error_and_is_logged_and_the_connection_stays_open(
    data: bytes, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (_, address):
            caller = await RespClient.connect(address)
            reply = await caller.send_and_read_reply(data)
            assert isinstance(reply, hiredis.ReplyError)
            assert str(reply).startswith("ERR ")
            assert reason in str(reply)
            assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"

    with caplog.at_level(logging.WARNING):
        run_async_test(body())
    assert any(reason in record.getMessage() for record in caplog.records)


def test_valid_command_is_parsed() -> None:
    parser = CommandParser(make_config().settings)
    arguments = [
        b"API.WRITE",
        b"%016X" % 0xABC,
        b"id-1",
        b"c=order,t=basic,d=1500,k=key,units=0.5,spread=1,first=0,r=1",
        b"body",
    ]
    assert parser.parse(b"API.WRITE", arguments) == Command(
        arguments=arguments,
        client_request_id=b"id-1",
        customer="0000000000000abc",
        request_class="order",
        plan="basic",
        wait_s=1.5,
        units=0.5,
        assigned_instances=1,
        first_instance=0,
        is_client_retry=True,
        is_write=True,
    )


def test_encoded_command_parts_omit_the_length_of_the_field_list() -> None:
    parser = CommandParser(make_config().settings)
    customer, fields = b"%016x" % 7, b"c=read,t=basic,d=100"
    parsed = parser.parse(b"API.READ", [b"api.read", customer, b"id-1", fields])
    before, middle, after = parsed.encode_parts()
    assert middle == fields
    assert before + b"$%d\r\n" % len(fields) + middle + after == encode_resp_array(
        b"api.read", customer, b"id-1", fields
    )
