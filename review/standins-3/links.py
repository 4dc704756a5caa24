"""Proxies that stand for the network: between two entries, and between a caller and an entry."""

import asyncio
import socket
import struct

# The path of a link between two entries ("/peer"), as the head of its HTTP/2 stream carries it. Agents' sessions have another path.
PEER_PATH = bytes.fromhex("048462b296cf")


class MeshProxy:
    """Stands before an entry's port for agents and other entries. While `is_cut` is set, links of other entries are partitioned from it:
    what they send is lost, in both directions and without a reset. Agents' sessions pass."""

    def __init__(self):
        self.is_cut = False

    async def start(self, address, target):
        self.target = target
        self.server = await asyncio.start_server(self.connect, *address)

    async def connect(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            return writer.transport.abort()
        connection = {"is_peer": False}
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, connection, True), self.forward(target_reader, writer, connection, False))
        except OSError:
            pass
        finally:
            writer.transport.abort()
            target_writer.transport.abort()

    async def forward(self, reader, writer, connection, is_request):
        seen = b""
        while True:
            data = await reader.read(65536)
            if is_request and len(seen) < 1024:
                seen += data
                connection["is_peer"] |= PEER_PATH in seen
            if connection["is_peer"] and self.is_cut:
                # The end of a channel is lost as well.
                await self.until_healed(data)
                if not data:
                    raise ConnectionResetError
                continue
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()

    async def until_healed(self, data):
        while not data and self.is_cut:
            await asyncio.sleep(0.05)


class CallerLink:
    """A caller's channel through the platform. `break_caller` breaks it on the caller's side only: the entry sees neither a FIN nor a RST."""

    async def start(self, address, target):
        self.target = target
        self.callers = []
        self.open = []
        self.is_broken = False
        # Whether new channels are reset before anything passes.
        self.resets_new = False
        self.server = await asyncio.start_server(self.connect, *address)

    async def connect(self, reader, writer):
        if self.resets_new:
            return reset(writer)
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        self.callers.append(writer)
        self.open.append((asyncio.current_task(), target_reader, target_writer))
        await asyncio.gather(self.forward(reader, target_writer), self.forward(target_reader, writer))

    async def forward(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if self.is_broken:
                    # Nothing passes any more, and the entry's side stays open.
                    await asyncio.sleep(3600)
                if not data:
                    return writer.close()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def break_caller(self):
        self.is_broken = True
        for writer in self.callers:
            reset(writer)


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
