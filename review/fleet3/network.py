"""The network in front of the peer port of a node."""

import asyncio
import contextlib
import socket
import struct
import time

CHUNK_BYTES = 16_384


class LinkProxy:
    """
    Passes the connections of other nodes on, at the bandwidth of a link.

    :param target: address that connections are passed on to.
    :param bytes_per_s: in each direction, all connections together.
    """

    def __init__(self, address, target, bytes_per_s):
        self._address = address
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._free_at = {True: 0.0, False: 0.0}
        self._writers = set()

    async def start(self):
        """Start to take connections."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets have the same small window.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        listener.bind(self._address)
        self._server = await asyncio.start_server(
            self._accept, sock=listener, limit=CHUNK_BYTES
        )

    def reset(self):
        """Reset all open connections; return how many."""
        writers, self._writers = self._writers, set()
        for writer in writers:
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            writer.transport.abort()
        return len(writers) // 2

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target, limit=CHUNK_BYTES
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, far_writer}
        passing = [
            asyncio.create_task(self._pass(reader, far_writer, True)),
            asyncio.create_task(self._pass(far_reader, writer, False)),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            for task in passing:
                task.cancel()
            for one in (writer, far_writer):
                self._writers.discard(one)
                one.close()

    async def _pass(self, reader, writer, inward):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                free_at = max(time.monotonic(), self._free_at[inward])
                self._free_at[inward] = free_at + len(data) / self._bytes_per_s
                await asyncio.sleep(max(0.0, free_at - time.monotonic()))
                writer.write(data)
                await writer.drain()
