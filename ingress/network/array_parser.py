"""Parsing of complete RESP2 arrays, with one parser for all connections."""

from __future__ import annotations

from typing import cast

import hiredis

from ingress.network.frames import FrameError


class ArrayParser:
    """A parser of complete arrays of bulk strings, whose ends `find_array_end` has found.

    It keeps a buffer as large as the largest array, so connections share one instead of having one each.  No
    byte of an array stays in it.
    """

    __slots__ = ("_reader",)

    def __init__(self) -> None:
        """Create a parser."""
        self._reader = hiredis.Reader()

    def parse(self, frame: bytes) -> list[bytes | None]:
        """Return the items of an array, None for each null item; raise FrameError if it is malformed."""
        try:
            self._reader.feed(frame)
            items = self._reader.gets()
        except hiredis.HiredisError as error:
            self._discard_rest()
            raise FrameError(str(error)) from error
        if not isinstance(items, list) or self._reader.has_data():
            self._discard_rest()
            raise FrameError("broken frame: not one array")
        return cast(list[bytes | None], items)

    def _discard_rest(self) -> None:
        self._reader = hiredis.Reader()


SHARED_PARSER = ArrayParser()
"""The parser of all connections of the process, which run in one thread."""
