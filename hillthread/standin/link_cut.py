"""Cuts the links between a gateway process and all targets, from outside.

A proxy cannot do this: it accepts connections before it can refuse them, and
does not know which host has opened them. The process itself fails to connect,
and loses open connections, as a control file says.
"""

from __future__ import annotations

import asyncio
import enum
import pathlib
import weakref

import msgspec

from hillthread.transport import byte_stream

__all__ = ["Control", "LinkCut", "Shape", "control_path"]

_CHECK_S = 0.05


class Shape(enum.StrEnum):
    """How connections between a host and the targets fail."""

    NONE = "none"  # they work
    RESET = "reset"  # open ones are reset, new ones refused
    SILENT = "silent"  # open ones fall silent, new ones hang
    REFUSE_NEW = "refuse_new"  # open ones live on, new ones are refused


class Control(msgspec.Struct):
    """The content of a control file.

    Attributes:
        shape: How links are cut.
        spared: Addresses that are no targets.
    """

    shape: Shape = Shape.NONE
    spared: list[str] = []


def control_path(settings_path: str, host: str) -> pathlib.Path:
    """Returns the path of a host's control file, beside its settings."""
    return pathlib.Path(settings_path).parent / f"{host}.links"


class LinkCut:
    """Makes this process's connections to targets fail.

    Attributes:
        path: Of the control file; links work while it is missing.
        control: What the file says.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.control = Control()
        self._streams: weakref.WeakSet[byte_stream.ByteStream] = (
            weakref.WeakSet()
        )
        self._is_watching = False
        self._connect = byte_stream.open_connection

    def install(self) -> None:
        """Replaces the function that opens connections."""
        self._read()
        byte_stream.open_connection = self._open_connection

    async def _open_connection(
        self, ip: str, port: int
    ) -> byte_stream.ByteStream:
        if not self._is_watching:
            self._is_watching = True
            self._watch()
        is_spared = f"{ip}:{port}" in self.control.spared
        if not is_spared:
            match self.control.shape:
                case Shape.RESET | Shape.REFUSE_NEW:
                    raise ConnectionRefusedError
                case Shape.SILENT:
                    await asyncio.Event().wait()
        stream = await self._connect(ip, port)
        if not is_spared:
            self._streams.add(stream)
        return stream

    def _watch(self) -> None:
        before = self.control.shape
        self._read()
        if self.control.shape is not before:
            self._apply(before)
        asyncio.get_running_loop().call_later(_CHECK_S, self._watch)

    def _apply(self, before: Shape) -> None:
        """Acts on open connections when the shape has changed."""
        streams = list(self._streams)
        if self.control.shape is Shape.SILENT:
            for stream in streams:
                _silence(stream)
        elif self.control.shape is Shape.RESET or before is Shape.SILENT:
            for stream in streams:
                stream.cut()
            self._streams.clear()

    def _read(self) -> None:
        try:
            raw = self.path.read_bytes()
            self.control = msgspec.json.decode(raw, type=Control)
        except (OSError, msgspec.DecodeError):
            return  # missing, or being written


def _silence(stream: byte_stream.ByteStream) -> None:
    """Drops what is sent and received on a connection from now on."""
    stream.write = _drop  # type: ignore[method-assign]
    stream._transport.pause_reading()


def _drop(data: bytes) -> None:
    del data
