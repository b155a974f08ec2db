"""Connect `Gateway` instances to the simulator, through standard input and output.

Each line of the input is a JSON message.  The messages come in batches.  All messages of a batch arrive at
the batch's time, and the adapter writes the replies after it has read the last of them.  A malformed line
ends the program with an error message that says what is wrong.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from ingress import interface as api
from ingress.decisions import Gateway
from ingress.errors import IngressError
from ingress.simulator.codec import (
    DeliverEvent,
    Message,
    StartInstance,
    StopInstance,
    StoreSnapshot,
    decode_command,
    encode_action,
    encode_fault,
)

EXIT_MALFORMED_INPUT = 2
_MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class MalformedInputError(IngressError):
    """The input violates the simulator's protocol."""


class SimulatorAdapter:
    """The gateways that this process hosts, and the endpoint lists to which their messages refer."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._snapshots: dict[int, tuple[api.Backend, ...]] = {}

    def handle_batch(self, now: float, messages: Iterable[Message]) -> list[dict[str, Any]]:
        """Return the replies to the messages that arrive at `now` (simulated seconds).

        Raise MalformedInputError for a message that can't be decoded.
        """
        replies: list[dict[str, Any]] = []
        for message in messages:
            command = self._decode_or_apply(message)
            if command is None or command.instance is None:
                continue
            try:
                replies.extend(self._execute(now, command.instance, command))
            # Any exception here is a bug in the decision module.  The protocol has a message to report it, on
            # which the simulator stops and prints the reason.
            except Exception as error:  # noqa: BLE001
                reason = f"{type(error).__name__}: {error} at {now} on {message['m']}"
                replies.append(encode_fault(command.instance, reason))
                return replies
        return replies

    def _decode_or_apply(self, message: Message) -> StartInstance | DeliverEvent | None:
        """Decode a message, and return the command if a gateway has to start or handle an event.

        Carry out other commands, which store an endpoint list or stop a gateway, and return None for them.
        """
        try:
            command = decode_command(message, self._snapshots)
            if isinstance(command, StoreSnapshot):
                self._snapshots[command.snapshot_id] = command.backends
                return None
            if isinstance(command, StopInstance):
                if command.instance is not None:
                    self._gateways.pop(command.instance, None)
                return None
        except _MALFORMED_VALUE_ERRORS as error:
            raise MalformedInputError(f"{message.get('m')}: {type(error).__name__}: {error}") from error
        return command

    def _execute(
        self, now: float, instance: int, command: StartInstance | DeliverEvent
    ) -> Iterable[dict[str, Any]]:
        if isinstance(command, StartInstance):
            self._gateways[instance] = Gateway(command.settings, command.seed)
            return ()
        gateway = self._gateways.get(instance)
        if gateway is None:
            return ()
        return [encode_action(action, instance) for action in gateway.handle(now, command.event)]


class BatchReader:
    """Reader of the input lines; it writes the replies to each batch when the batch ends."""

    def __init__(self, output_stream: TextIO) -> None:
        self._output_stream = output_stream
        self._adapter = SimulatorAdapter()
        self._batch_time: float | None = None
        """Time of the batch that is being read, in simulated seconds; None between batches."""
        self._messages: list[Message] = []

    def read_line(self, line: str) -> None:
        """Process one line of the input.

        Raise MalformedInputError, KeyError, TypeError or ValueError if it is malformed.
        """
        message = json.loads(line)
        if not isinstance(message, dict):
            raise MalformedInputError("the line is not a JSON object")
        name = message.get("m")
        if name == "BeginBatch":
            self._batch_time = float(message["ts-s"])
            self._messages = []
        elif self._batch_time is None:
            raise MalformedInputError(f"message {name!r} is outside a batch")
        elif name == "Eob":
            self._write_replies(self._batch_time)
            self._batch_time = None
        else:
            self._messages.append(message)

    def check_end_of_input(self) -> None:
        """Raise MalformedInputError if the input ends inside a batch."""
        if self._batch_time is not None:
            raise MalformedInputError("the input ends inside a batch")

    def _write_replies(self, now: float) -> None:
        for reply in self._adapter.handle_batch(now, self._messages):
            self._output_stream.write(json.dumps(reply) + "\n")
        self._output_stream.write('{"m":"Finished"}\n')
        self._output_stream.flush()


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Write the replies to the batches of the input to the output, until the input ends.

    Raise MalformedInputError, with the number of the line, if the input is malformed.
    """
    reader = BatchReader(output_stream)
    for line_number, line in enumerate(input_stream, 1):
        if not line.strip():
            continue
        try:
            reader.read_line(line)
        except (MalformedInputError, KeyError, TypeError, ValueError) as error:
            raise MalformedInputError(f"line {line_number}: {error}") from error
    reader.check_end_of_input()


def main() -> int:
    """Run the adapter on standard input and output; return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as error:
        print(f"ingress.simulator: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0
