"""Crowds of malformed peers, and what a process holds while they stay.

A shape describes one kind of peer: what each connection sends, how many
connections there are, and whether they read what is sent to them.
"""

import asyncio
from collections.abc import Iterator
import itertools
import os
import pathlib
import random
import socket
import struct

import msgspec

from orioleshore.protocol import framing

KIB = 1_024
MIB = 1_048_576
# A sender gives up when the peer takes nothing for this time, in seconds.
SEND_TIMEOUT_S = 5.0
# Time in seconds for which a crowd stays after its last byte.
STAY_S = 1.0
# Bytes that one connection sends of what has no end.
ENDLESS_BYTES = MIB
PIPELINED_REQUESTS = 2_000


class Shape(msgspec.Struct, frozen=True):
    """One kind of peer; ``pieces`` are written one after the other."""

    name: str
    pieces: tuple[bytes, ...]
    connections: int = 150
    # Number of times that the last piece is written.
    repeats: int = 1

    def list_pieces(self) -> Iterator[bytes]:
        """Return the pieces in order, the last one repeatedly."""
        *first, last = self.pieces
        return itertools.chain(first, itertools.repeat(last, self.repeats))


def _make_head(method: str, path: str, *lines: str) -> bytes:
    head = (f'{method} {path} HTTP/1.1', 'Host: jobs.example', *lines)
    return '\r\n'.join(head).encode() + b'\r\n'


def make_endless_head(method: str, path: str) -> Shape:
    """Return peers whose header lines are long and never end."""
    line = b'X-Line: ' + b'a' * 8_000 + b'\r\n'
    return Shape(
        'endless_head',
        (_make_head(method, path), line),
        repeats=ENDLESS_BYTES // len(line),
    )


def make_many_headers(method: str, path: str) -> Shape:
    """Return peers that send short header lines without end."""
    block = b'a: b\r\n' * 1_000
    return Shape(
        'many_headers',
        (_make_head(method, path), block),
        repeats=ENDLESS_BYTES // len(block),
    )


def make_long_line(method: str, path: str) -> Shape:
    """Return peers whose request line never ends."""
    piece = b'a' * 8_000
    return Shape(
        'long_line',
        (f'{method} {path}'.encode(), piece),
        repeats=ENDLESS_BYTES // len(piece),
    )


def make_empty_lines(method: str, path: str) -> Shape:
    """Return peers that send empty lines without end before a request."""
    block = b'\r\n' * 4_000
    return Shape('empty_lines', (block,), repeats=ENDLESS_BYTES // len(block))


def make_short_body(method: str, path: str, size: int) -> Shape:
    """Return peers whose body stops one byte short of its length."""
    head = _make_head(method, path, f'Content-Length: {size}')
    return Shape('short_body', (head + b'\r\n', b' ' * (size - 1)))


def make_short_chunks(
    method: str, path: str, size: int, chunk_size: int
) -> Shape:
    """Return peers whose chunked body lacks its last chunk."""
    chunk = f'{chunk_size:x}\r\n'.encode() + b' ' * chunk_size + b'\r\n'
    block = chunk * max(1, 32 * KIB // chunk_size)
    return Shape(
        f'chunks_of_{chunk_size}',
        (_make_chunked_head(method, path), block),
        repeats=size // max(chunk_size, 32 * KIB),
    )


def make_endless_extension(method: str, path: str) -> Shape:
    """Return peers whose chunk extension never ends."""
    piece = b'a' * 8_000
    return Shape(
        'endless_extension',
        (_make_chunked_head(method, path) + b'1;', piece),
        repeats=ENDLESS_BYTES // len(piece),
    )


def make_endless_trailers(method: str, path: str) -> Shape:
    """Return peers whose trailer lines after the last chunk never end."""
    line = b'X-Line: ' + b'a' * 8_000 + b'\r\n'
    return Shape(
        'endless_trailers',
        (_make_chunked_head(method, path) + b'0\r\n', line),
        repeats=ENDLESS_BYTES // len(line),
    )


def make_whole_bodies(method: str, path: str, size: int) -> Shape:
    """Return peers that send many whole requests at once."""
    start, end = b'{"spec":"text","steps":[],"padding":"', b'"}'
    body = start + b'a' * (size - len(start) - len(end)) + end
    head = _make_head(method, path, f'Content-Length: {size}')
    return Shape('whole_bodies', (head + b'\r\n' + body,), repeats=4)


def make_unread_answers(method: str, path: str) -> Shape:
    """Return peers that send many requests and never read an answer."""
    request = _make_head(method, path) + b'\r\n'
    return Shape(
        'unread_answers', (request * 100,), repeats=PIPELINED_REQUESTS // 100
    )


def make_idle(connections: int) -> Shape:
    """Return peers that connect and send nothing."""
    return Shape('idle', (b'',), connections=connections)


def make_partial_heads(connections: int) -> Shape:
    """Return peers that send the start of a head and stop."""
    return Shape('partial_heads', (b'GET / HT',), connections=connections)


def make_short_frames() -> Shape:
    """Return peers of the inner protocol whose frame stops short."""
    length = struct.pack('>I', framing.MAX_FRAME_BYTES)
    return Shape(
        'short_frames', (length, b'a' * (framing.MAX_FRAME_BYTES - 1))
    )


def _make_chunked_head(method: str, path: str) -> bytes:
    return _make_head(method, path, 'Transfer-Encoding: chunked') + b'\r\n'


class Crowd:
    """The open connections of one shape."""

    def __init__(self, host: str, port: int, shape: Shape) -> None:
        self._address = (host, port)
        self._shape = shape
        self._sockets: list[socket.socket] = []

    async def send(self) -> None:
        """Open all connections and send until all is sent or refused."""
        await asyncio.gather(
            *(self._send_all() for _ in range(self._shape.connections))
        )
        await asyncio.sleep(STAY_S)

    def close(self) -> None:
        """Close all connections."""
        for item in self._sockets:
            item.close()

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        self._sockets.append(connection)
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(connection, self._address)
            for piece in self._shape.list_pieces():
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await loop.sock_sendall(connection, piece)
        except (OSError, TimeoutError):
            # The process may refuse the connection or stop reading from it.
            return


def get_peak_memory(pid: int) -> int:
    """Return the peak resident memory of a process in bytes."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text('utf-8')
    for line in text.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * KIB
    raise AssertionError(f'process {pid} has ended')


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))


def resize(shape: Shape, connections: int) -> Shape:
    """Return a shape with another number of connections."""
    return msgspec.structs.replace(shape, connections=connections)


def make_odd_request(source: random.Random) -> bytes:
    """Return a request with a chunked body, changed at random places."""
    chunks = b''.join(
        f'{size:x}\r\n'.encode() + b'a' * size + b'\r\n'
        for size in source.choices((1, 2, 15, 400), k=5)
    )
    request = bytearray(
        _make_chunked_head('POST', '/odd') + chunks + b'0\r\n\r\n'
    )
    for _ in range(source.randrange(1, 6)):
        start = source.randrange(len(request))
        stop = start + source.choice((0, 1, 8))
        odd = source.choice((b'\r\n', b'\0', b'ffffffff', b':', b';x' * 99))
        request[start:stop] = odd
    return bytes(request)
